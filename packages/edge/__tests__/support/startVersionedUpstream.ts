import type { ServiceName, SoftwareVersion } from "@ibislanding/core";
import { createServer, type Server } from "node:http";
import type { createTestStore } from "./createTestStore";
import { pauseMs } from "./pauseMs";
import { createStoredUpstream } from "./startTestHost";

const EVENT_INTERVAL_MS = 30;

/** Number of events of a whole stream, and of one that is broken off. */
const EVENTS = 8;
const EVENTS_BEFORE_BREAK = 3;

/** Delay of slow answers. */
const DELAY_MS = 1_200;

/**
 * Starts an upstream whose events state its software version; it breaks off the streams that begin there if `breaksOff`
 * returns true.
 */
export const startVersionedUpstream = async (
    store: ReturnType<typeof createTestStore>,
    upstreamId: string,
    softwareVersion: string,
    breaksOff: (requestId: string) => boolean,
    { service = "orders", faultOf = () => undefined, onRequest = () => undefined }: {
        readonly service?: string;
        /** Returns what is wrong with the next answer; undefined for a sound one. */
        readonly faultOf?: () => "failure" | "delay" | undefined;
        readonly onRequest?: (fault: "failure" | "delay" | undefined) => void;
    } = {},
) => {
    const timers = new Set<NodeJS.Timeout>();
    let runningVersion = softwareVersion;
    const createStart = (): Server =>
        createServer((request, response) => {
            const first = Number(request.headers["last-event-id"] ?? 0) + 1;
            const isBroken = first === 1 && breaksOff(String(request.headers["x-request"]));
            const fault = faultOf();
            let number = first;
            onRequest(fault);
            request.resume();
            if (fault === "failure") {
                response.writeHead(500, { "X-Request": String(request.headers["x-request"]), "Content-Length": "0" });
                response.end();
                return;
            }
            response.writeHead(200, {
                "X-Request": String(request.headers["x-request"]),
                "Content-Type": "text/event-stream",
            });
            const beginsAtMs = performance.now() + (fault === "delay" ? DELAY_MS : 0);
            const timer = setInterval(() => {
                if (performance.now() < beginsAtMs) {
                    return;
                }
                if (isBroken && number === EVENTS_BEFORE_BREAK + 1) {
                    response.destroy();
                    return;
                }
                response.write(`id: ${number}\ndata: ${runningVersion}\n\n`);
                if (number++ === EVENTS) {
                    response.end();
                    clearInterval(timer);
                }
            }, EVENT_INTERVAL_MS);
            timers.add(timer);
            response.on("close", () => clearInterval(timer));
        });
    let server = createStart();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    const port = typeof address === "object" && address !== null ? address.port : 0;
    let startedAtMs = 1;
    const register = (): number =>
        store.write(
            `upstreams/${upstreamId}`,
            JSON.stringify({
                ...createStoredUpstream(upstreamId, port),
                startedAtMs,
                service: service as ServiceName,
                softwareVersion: runningVersion as SoftwareVersion,
                slots: 64,
            }),
        );
    register();
    return {
        port,
        events: EVENTS,
        /** Crashes, listens again at the same address with another version, and registers some time later. */
        restart: async (
            { softwareVersion: nextVersion, listenAfterMs, entryAfterMs }: {
                readonly softwareVersion: string;
                readonly listenAfterMs: number;
                readonly entryAfterMs: number;
            },
        ): Promise<void> => {
            server.closeAllConnections();
            server.close();
            await pauseMs(listenAfterMs);
            runningVersion = nextVersion;
            startedAtMs++;
            server = createStart();
            await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
            await pauseMs(entryAfterMs);
            register();
        },
        [Symbol.asyncDispose]: async () => {
            timers.forEach(clearInterval);
            server.closeAllConnections();
            server.close();
        },
    };
};
