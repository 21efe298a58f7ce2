import { type AvailabilityZone, createResourceStack, type ServiceName } from "@ibislanding/core";
import type { Route } from "@ibislanding/gateway";
import { createServer } from "node:http";
import { createTestStore } from "./createTestStore";
import { pauseMs } from "./pauseMs";
import { startForwarder } from "./startForwarder";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./startTestHost";

/** Time for the hosts to know each other and the upstreams. */
const INTRODUCTION_MS = 2_500;

const UPSTREAMS = 6;

const ANSWER_MS = 30;

interface RelayGroupUpstream extends AsyncDisposable {
    readonly port: number;
}

/**
 * Starts hosts that relay, of which the first ones reach the upstreams through a forwarder that can be switched off. The route
 * `/orders/` leads to the service `orders`, and a route for each further service to it; upstreams belong to the services in turn.
 */
export const startRelayGroup = async (
    {
        hosts: hostCount,
        behindForwarders,
        route,
        services = ["orders"],
        slots = 64,
        answerMs = ANSWER_MS,
        isBehindForwarder = () => true,
        ratePerS = 0,
        burst = 0,
        startUpstream,
    }: {
        readonly hosts: number;
        readonly behindForwarders: number;
        readonly route: Partial<Route>;
        readonly services?: readonly string[];
        readonly slots?: number;
        readonly answerMs?: number;
        /** Whether the upstream of an index is reached through the forwarders. */
        readonly isBehindForwarder?: (index: number) => boolean;
        /** Rate of the account; 0 for none. */
        readonly ratePerS?: number;
        readonly burst?: number;
        /** Starts and registers an upstream; by default, one that answers plain requests. */
        readonly startUpstream?: (
            store: ReturnType<typeof createTestStore>,
            index: number,
        ) => Promise<RelayGroupUpstream>;
    },
) => {
    const resources = createResourceStack();
    const store = createTestStore();
    const configuration = createTestConfiguration(1, "k1");
    store.write(
        "configuration",
        JSON.stringify({
            ...configuration,
            accounts: configuration.accounts.map(known => ({ ...known, ratePerS, burst })),
            routes: configuration.routes.flatMap(known =>
                services.map(service => ({
                    ...known,
                    ...route,
                    name: service,
                    pathPrefix: `/${service}/`,
                    destinations: [{ service: service as ServiceName, weight: 1 }],
                }))
            ),
            services: configuration.services.flatMap(known =>
                services.map(service => ({ ...known, name: service as ServiceName }))
            ),
        }),
    );
    /** Requests that upstreams have run, by id. */
    const runs = new Map<string, number>();
    const startPlainUpstream = async (index: number): Promise<RelayGroupUpstream> => {
        const server = createServer((request, response) => {
            const id = String(request.headers["x-request"]);
            request.resume();
            request.on("end", () => {
                runs.set(id, (runs.get(id) ?? 0) + 1);
                setTimeout(() => {
                    response.writeHead(200, { "X-Request": id });
                    response.end("{}");
                }, answerMs);
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = server.address();
        const port = typeof address === "object" && address !== null ? address.port : 0;
        store.write(
            `upstreams/u-${index}`,
            JSON.stringify({
                ...createStoredUpstream(`u-${index}`, port),
                slots,
                service: services[index % services.length] as ServiceName,
                availabilityZone: `zone-${index % 3}` as AvailabilityZone,
            }),
        );
        return {
            port,
            [Symbol.asyncDispose]: async () => {
                server.closeAllConnections();
                server.close();
            },
        };
    };
    const servers = await Promise.all(
        Array.from({ length: UPSTREAMS }, (_, index) => startUpstream?.(store, index) ?? startPlainUpstream(index)),
    );
    servers.forEach(server => resources.use(server));
    const hosts: Awaited<ReturnType<typeof startTestHost>>[] = [];
    const forwarders: Awaited<ReturnType<typeof startForwarder>>[] = [];
    for (let index = 0; index < hostCount; index++) {
        const forwarder = index < behindForwarders
            ? resources.use(
                await startForwarder(
                    servers.filter((_, upstream) => isBehindForwarder(upstream)).map(({ port }) => port),
                ),
            )
            : undefined;
        if (forwarder !== undefined) {
            forwarders.push(forwarder);
        }
        const started = await startTestHost(store, `host-${index}`, hosts.map(({ peersAddress }) => peersAddress), {
            relays: true,
            mapUpstream: record => ({
                ...record,
                address: { ip: "127.0.0.1", port: forwarder?.ports.get(record.address.port) ?? record.address.port },
            }),
        });
        resources.use(started.host);
        hosts.push(started);
    }
    await pauseMs(INTRODUCTION_MS);
    return {
        hosts,
        forwarders,
        runs,
        stopUpstreams: () => Promise.all(servers.map(server => server[Symbol.asyncDispose]())),
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
