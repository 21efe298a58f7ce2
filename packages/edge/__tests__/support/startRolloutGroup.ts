import { createResourceStack, type ServiceName } from "@ibislanding/core";
import { actEveryMs } from "./actEveryMs";
import { createTestStore } from "./createTestStore";
import { pauseMs } from "./pauseMs";
import { readStream } from "./readStream";
import { createTestConfiguration, startTestHost } from "./startTestHost";
import { startVersionedUpstream } from "./startVersionedUpstream";

type Fault = "failure" | "delay" | undefined;

/** A request that reached an upstream. */
export interface Arrival {
    readonly service: string;
    readonly version: string;
    readonly atMs: number;
    readonly fault: Fault;
}

/** Bounds of the tests: the slack is smaller than in deployments, as they send few requests. */
export const ROLLOUT_BOUNDS = { exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5_000 };

const UPSTREAMS_PER_VERSION = 2;
const REQUEST_INTERVAL_MS = 12;
const OBJECTIVE_MS = 400;
const INTRODUCTION_MS = 2_500;

/** Starts hosts that roll versions out, with two upstreams of each of the given versions for each service. */
export const startRolloutGroup = async (
    { hosts: hostCount, services, faultOf = () => undefined }: {
        readonly hosts: number;
        readonly services: readonly string[];
        readonly faultOf?: (service: string, version: string) => Fault;
    },
) => {
    const resources = createResourceStack();
    const store = createTestStore();
    const arrivals: Arrival[] = [];
    const configuration = createTestConfiguration(1, "k1");
    const [route] = configuration.routes;
    const [spec] = configuration.services;
    if (route === undefined || spec === undefined) {
        throw new Error("the test configuration has no route or no service");
    }
    store.write(
        "configuration",
        JSON.stringify({
            ...configuration,
            routes: services.map(name => ({
                ...route,
                name,
                pathPrefix: `/${name}/`,
                kind: "stream",
                isResumable: true,
                maximumAttempts: 3,
                objectiveMs: OBJECTIVE_MS,
                destinations: [{ service: name as ServiceName, weight: 1 }],
            })),
            services: services.map(name => ({ ...spec, name })),
        }),
    );

    const startVersion = async (service: string, version: string): Promise<void> => {
        const upstreams = await Promise.all(
            Array.from(
                { length: UPSTREAMS_PER_VERSION },
                (_, index) =>
                    startVersionedUpstream(store, `${service}-${version}-${index}`, version, () => false, {
                        service,
                        faultOf: () => faultOf(service, version),
                        onRequest: fault => void arrivals.push({ service, version, atMs: performance.now(), fault }),
                    }),
            ),
        );
        upstreams.forEach(upstream => resources.use(upstream));
    };

    await Promise.all(services.map(service => startVersion(service, "v1")));
    const hosts: Awaited<ReturnType<typeof startTestHost>>[] = [];
    for (let index = 0; index < hostCount; index++) {
        const seeds = hosts.map(({ peersAddress }) => peersAddress);
        const started = await startTestHost(store, `host-${index}`, seeds, { rollouts: ROLLOUT_BOUNDS });
        resources.use(started.host);
        hosts.push(started);
    }
    await pauseMs(INTRODUCTION_MS);

    const order = async (service: string, durationMs: number): Promise<void> => {
        store.write(`orders/${service}`, JSON.stringify({ service, target: "v2", durationMs }));
        await startVersion(service, "v2");
    };

    /** Sends requests to the given hosts in turn for a time; returns how many were sent, and their answers. */
    const load = async (service: string, durationMs: number, hostIndices = hosts.map((_, index) => index)) => {
        const calls: ReturnType<typeof readStream>[] = [];
        await actEveryMs(REQUEST_INTERVAL_MS, durationMs, index => {
            const host = hosts[hostIndices[index % hostIndices.length] ?? 0];
            calls.push(readStream(host?.callers ?? 0, { requestId: `${service}${index}`, path: `/${service}/1` }));
        });
        return Promise.all(calls);
    };

    return {
        store,
        hosts,
        arrivals,
        order,
        load,
        statusOf: (service: string) => store.valueOf(`statuses/${service}`),
        at: (service: string, version: string) =>
            arrivals.filter(arrival => arrival.service === service && arrival.version === version),
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
