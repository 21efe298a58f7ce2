import { type AccountId, createResourceStack } from "@ibislanding/core";
import type { Route } from "@ibislanding/gateway";
import { setTimeout as sleep } from "node:timers/promises";
import { createTestStore } from "./createTestStore";
import { type CrashRecords, startCrashingUpstream } from "./startCrashingUpstream";
import { createTestConfiguration, startTestHost } from "./startTestHost";

/** Long enough for no request to be refused because the machine of the test is busy. */
const OBJECTIVE_MS = 4_000;

/** Key of the second account. */
const OTHER_KEY = "k2";

const INTRODUCTION_MS = 2_000;

/** Starts hosts that know each other before upstreams that some requests crash. */
export const startCrashTestGroup = async (
    records: CrashRecords,
    { hosts: hostCount, upstreams: upstreamCount, route = {} }: {
        readonly hosts: number;
        readonly upstreams: number;
        readonly route?: Partial<Route>;
    },
) => {
    const resources = createResourceStack();
    const store = createTestStore();
    const configuration = createTestConfiguration(1, "k1");
    const routes = configuration.routes.map(known => ({ ...known, objectiveMs: OBJECTIVE_MS, ...route }));
    const accounts = configuration.accounts.flatMap(known => [
        known,
        { ...known, accountId: "other" as AccountId, apiKeys: [OTHER_KEY] },
    ]);
    store.write("configuration", JSON.stringify({ ...configuration, routes, accounts }));
    const upstreams = await Promise.all(
        Array.from({ length: upstreamCount }, (_, index) => startCrashingUpstream(store, `u-${index}`, records)),
    );
    upstreams.forEach(upstream => resources.use(upstream));
    const hosts = [];
    for (let index = 0; index < hostCount; index++) {
        const started = await startTestHost(store, `host-${index}`, hosts.map(({ peersAddress }) => peersAddress));
        resources.use(started.host);
        hosts.push(started);
    }
    await sleep(INTRODUCTION_MS);
    return { hosts, [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose]() };
};
