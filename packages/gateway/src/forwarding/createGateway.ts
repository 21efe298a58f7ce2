import { breakOffResponse, createLoopDelayMeter, createMemoryBudget } from "@ibislanding/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createCapacityQueue } from "../brittle/createCapacityQueue";
import { createStreamActivity } from "../streams/createStreamActivity";
import { createClientResponse } from "./createClientResponse";
import { createConnectionPool } from "./createConnectionPool";
import type { Gateway } from "./gateway";
import type { GatewayOptions } from "./gatewayOptions";
import type { RelayedRequest } from "./relayedRequest";
import { serveRequest } from "./serveRequest";

/** Maximum requests in flight per process; more could exhaust the memory for their buffered bodies. */
const MAXIMUM_REQUESTS = 1_500;

/** Interval at which connections to unregistered upstreams are retired. */
const RETIRE_INTERVAL_MS = 500;

/** Time in which the last answers of a stopping process are sent. */
const LAST_ANSWERS_MS = 150;
const LAST_ANSWERS_POLL_MS = 10;

/** Creates a gateway; disposing of it closes its idle upstream connections and those of unfinished requests. */
export const createGateway = (options: GatewayOptions): Gateway => {
    const { clock } = options;
    const pool = createConnectionPool(options.upstreams);
    const capacityQueue = createCapacityQueue(clock, {
        isOrdered: () => options.admission?.isEnabled() === true,
        servedUnitsPerS: (service, accountId) => options.admission?.servedUnitsPerS(service, accountId) ?? 0,
    });
    const memoryBudget = createMemoryBudget(() => options.maximumBodyMemoryBytes);
    // Enough for one body of the largest size in parts of a byte.
    const partBudget = createMemoryBudget(() => options.configuration()?.source.limits.maximumBodyBytes ?? 0);
    const loopDelay = createLoopDelayMeter(clock);
    const streamActivity = createStreamActivity(clock);
    const stop = new AbortController();
    const stopCallbacks = new Set<() => void>();
    const unfinished = new Set<ServerResponse>();
    let stopStartedAtMs: number | undefined;

    const refusesNewRequests = (): boolean =>
        unfinished.size >= MAXIMUM_REQUESTS
        || stopStartedAtMs !== undefined && clock.monotonicMs() - stopStartedAtMs > options.stopAcceptMs;

    const isTooLateToRun = (dueAtMs: number): boolean =>
        stopStartedAtMs !== undefined && clock.monotonicMs() - stopStartedAtMs > options.stopAcceptMs
        && dueAtMs - stopStartedAtMs > options.stopGraceMs;

    const handle = async (
        request: IncomingMessage,
        response: ServerResponse,
        relayed?: RelayedRequest,
    ): Promise<void> => {
        const clientResponse = createClientResponse(
            response,
            () => stopStartedAtMs !== undefined,
            relayed?.onRefusal,
        );
        const memory = memoryBudget.open();
        // The last bytes are in the buffer of the connection until then.
        response.once("close", () => memory[Symbol.dispose]());
        const refuses = refusesNewRequests();
        unfinished.add(response);
        try {
            await serveRequest({
                ...options,
                pool,
                capacityQueue,
                loopDelay,
                streamActivity,
                memory,
                parts: partBudget.open(),
                request,
                response,
                clientResponse,
                relayed,
                refusesNewRequests: refuses,
                isTooLateToRun,
                onStopped: callback => {
                    stopCallbacks.add(callback);
                    return () => void stopCallbacks.delete(callback);
                },
            });
        }
        catch (error) {
            // Whether the request has run is not known here.
            if (!clientResponse.isEnded()) {
                clientResponse.refuse({ status: 502, reason: "internal_error" });
            }
            options.events.onRequestError({ requestId: options.codec.readRequest(request).requestId, error });
        }
        finally {
            unfinished.delete(response);
        }
    };

    const retirePeriodically = async (): Promise<void> => {
        while (!stop.signal.aborted) {
            await clock.sleep(RETIRE_INTERVAL_MS, stop.signal);
            pool.retireUnregistered();
        }
    };
    const retirementLoop = retirePeriodically();

    return {
        handle: (request, response) => void handle(request, response),
        handleRelayed: (request, response, relayed) => void handle(request, response, relayed),
        beginStop: () => {
            stopStartedAtMs ??= clock.monotonicMs();
        },
        endStop: async () => {
            const giveUpAtMs = clock.monotonicMs() + LAST_ANSWERS_MS;
            stopCallbacks.forEach(callback => callback());
            while (unfinished.size > 0 && clock.monotonicMs() < giveUpAtMs) {
                await clock.sleep(LAST_ANSWERS_POLL_MS);
            }
        },
        requestsInFlight: () => unfinished.size,
        heldBodyBytes: memoryBudget.heldBytes,
        [Symbol.asyncDispose]: async () => {
            stop.abort();
            loopDelay[Symbol.dispose]();
            await retirementLoop;
            unfinished.forEach(breakOffResponse);
            await pool[Symbol.asyncDispose]();
        },
    };
};
