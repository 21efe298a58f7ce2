import { type AvailabilityZone, createResourceStack } from "@ibislanding/core";
import type { Route } from "@ibislanding/gateway";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createTestStore } from "./createTestStore";
import { findFreePort } from "./findFreePort";
import { startForwarder } from "./startForwarder";
import { createStoredUpstream, createTestConfiguration, startTestHost } from "./startTestHost";

/** Time for the hosts to know each other and the upstreams. */
const INTRODUCTION_MS = 2_500;

const UPSTREAMS = 6;

/** Starts hosts that relay, of which the first ones reach the upstreams through a forwarder that can be switched off. */
export const startRelayGroup = async (
    { hosts: hostCount, behindForwarders, route, answerMs }: {
        readonly hosts: number;
        readonly behindForwarders: number;
        readonly route: Partial<Route>;
        readonly answerMs: number;
    },
) => {
    const resources = createResourceStack();
    const store = createTestStore();
    const configuration = createTestConfiguration(1, "k1");
    store.write(
        "configuration",
        JSON.stringify({ ...configuration, routes: configuration.routes.map(known => ({ ...known, ...route })) }),
    );
    /** Requests that upstreams have run, by id. */
    const runs = new Map<string, number>();
    const servers = await Promise.all(Array.from({ length: UPSTREAMS }, async (_, index) => {
        const server = createServer((request, response) => {
            const id = String(request.headers["x-request"]);
            request.resume();
            request.on("end", () => {
                runs.set(id, (runs.get(id) ?? 0) + 1);
                setTimeout(() => {
                    response.writeHead(200, { "X-Request": id, "X-Signature": "yes" });
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
                slots: 64,
                availabilityZone: `zone-${index % 3}` as AvailabilityZone,
            }),
        );
        resources.defer(async () => {
            server.closeAllConnections();
            server.close();
        });
        return { port, server };
    }));
    const hosts: Awaited<ReturnType<typeof startTestHost>>[] = [];
    const forwarders: Awaited<ReturnType<typeof startForwarder>>[] = [];
    for (let index = 0; index < hostCount; index++) {
        const pairs: [number, number][] = [];
        if (index < behindForwarders) {
            for (const { port } of servers) {
                pairs.push([await findFreePort(), port]);
            }
            forwarders.push(resources.use(await startForwarder(pairs)));
        }
        const started = await startTestHost(store, `host-${index}`, hosts.map(({ peersAddress }) => peersAddress), {
            relays: true,
            mapUpstream: record => {
                const from = pairs.find(([, to]) => to === record.address.port)?.[0];
                return from === undefined ? record : { ...record, address: { ip: "127.0.0.1", port: from } };
            },
        });
        resources.use(started.host);
        hosts.push(started);
    }
    await sleep(INTRODUCTION_MS);
    return {
        hosts,
        forwarders,
        runs,
        stopUpstreams: () =>
            servers.forEach(({ server }) => {
                server.closeAllConnections();
                server.close();
            }),
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
