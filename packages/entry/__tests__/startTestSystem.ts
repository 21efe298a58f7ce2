import {
    createResourceStack,
    createSystemClock,
    createSystemRandom,
    type HostId,
    type Revision,
} from "@ibislanding/core";
import { entrySettingsSchema, startEntry } from "@ibislanding/entry";
import { createHttpClient } from "@ibislanding/platform";
import { type ConfigurationDocument, parseManifestText } from "@ibislanding/resources";
import { createMetricsRegistry, type Logger, type RunningProgram } from "@ibislanding/runtime";
import {
    createEngineStandIn,
    createHostListStandIn,
    createKeyValueStandIn,
    createServiceStandIn,
    defaultEngineProfile,
    type EngineStandIn,
    type StandInServer,
} from "@ibislanding/standins";
import { createHash } from "node:crypto";

export const TEST_KEY = "test-key";
export const OTHER_KEY = "other-key";

const hashOf = (key: string): string => createHash("sha256").update(key).digest("hex");

const MANIFESTS = `
[[resources]]
kind = "Service"
name = "advisor"
team = "t"
spec = { type = "engine", repeatable = true }

[[resources]]
kind = "Service"
name = "payments"
team = "t"
spec = { type = "plain" }

[[resources]]
kind = "Service"
name = "catalogue"
team = "t"
spec = { type = "plain", repeatable = true }

[[resources]]
kind = "ModelVersion"
name = "advisor-1"
team = "t"
spec = { model = "advisor", service = "advisor", version = "1", artifact = "advisor-1" }

[[resources]]
kind = "ModelVersion"
name = "secret-1"
team = "t"
spec = { model = "secret", service = "advisor", version = "1", artifact = "secret-1" }

[[resources]]
kind = "ClientAccount"
name = "mobile"
team = "t"
spec = { keySha256 = ["${hashOf(TEST_KEY)}"], models = ["advisor"], services = ["*"], requestsPerSecond = 1000 }

[[resources]]
kind = "ClientAccount"
name = "web"
team = "t"
spec = { keySha256 = ["${hashOf(OTHER_KEY)}"], models = ["*"], services = ["payments"], requestsPerSecond = 1000 }
`;

const testDocument = (): ConfigurationDocument => ({
    revision: 1 as Revision,
    resources: parseManifestText(MANIFESTS).unwrap().map(manifest => ({
        ...manifest,
        generation: 1,
        version: 1 as Revision,
        changedBy: "test",
        changedAtMs: 0,
    })),
    recentChanges: [],
});

const silentLogger: Logger = {
    error: () => undefined,
    warn: () => undefined,
    info: () => undefined,
    debug: () => undefined,
};

const loopback = { address: "127.0.0.1", port: 0, tls: "off" } as const;

export interface TestEntry extends RunningProgram {
    readonly url: string;
}

export interface TestSystem extends AsyncDisposable {
    readonly engines: readonly EngineStandIn[];
    readonly service: StandInServer;
    readonly keyValue: StandInServer;
    readonly addEntry: () => Promise<TestEntry>;
    readonly entry: TestEntry;
}

const waitFor = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
};

/** Starts stand-ins and one entry host in this process; plain services are at the given URL if there is one. */
export const startTestSystem = async (engineCount = 2, serviceUrl?: string): Promise<TestSystem> => {
    const stack = createResourceStack();
    const http = stack.use(createHttpClient());
    const keyValue = stack.use(await createKeyValueStandIn(0));
    const hostList = stack.use(await createHostListStandIn(0));
    const service = stack.use(await createServiceStandIn(0, { deduplicates: false, answerDelayMs: 0 }));
    const ids = Array.from({ length: engineCount }, (_, index) => `engine-${index}`);
    const engines = await Promise.all(
        ids.map((upstreamId, seed) =>
            createEngineStandIn(0, { ...defaultEngineProfile, upstreamId, iterationMs: 5, reportLagMs: 20, seed })
        ),
    );
    engines.forEach(engine => stack.use(engine));
    const put = (url: string, body: unknown, headers = {}) =>
        http.send({ method: "PUT", url, body: JSON.stringify(body), headers, timeoutMs: 5_000 });
    const register = (upstreamId: string, kind: string, serviceName: string, url: string) =>
        put(`${hostList.url}/v1/upstreams/${upstreamId}`, {
            upstreamId,
            kind,
            service: serviceName,
            url,
            region: "r",
            availabilityZone: "z",
            machineClass: "standard",
            reclaimable: true,
            phase: "live",
        });
    await Promise.all(engines.map((engine, index) => register(ids[index] ?? "", "engine", "advisor", engine.url)));
    await register("payments-1", "service", "payments", serviceUrl ?? service.url);
    await register("catalogue-1", "service", "catalogue", serviceUrl ?? service.url);
    await put(`${keyValue.url}/v1/keys/${encodeURIComponent("config/head")}`, testDocument(), {
        "x-expected-version": "0",
    });

    const addEntry = async (): Promise<TestEntry> => {
        const settings = entrySettingsSchema.parse({
            process: { region: "r", availabilityZone: "z", operations: loopback, stopDeadlineMs: 10_000 },
            platform: { keyValueUrl: keyValue.url, hostListUrl: hostList.url },
            callers: loopback,
            internal: loopback,
            streams: { eventIdSecret: "s".repeat(32), heartbeatMs: 100 },
        });
        const program = stack.use(
            await startEntry({
                settings,
                hostId: `entry-${Math.random()}` as HostId,
                logger: silentLogger,
                metrics: createMetricsRegistry(),
                clock: createSystemClock(),
                random: createSystemRandom(),
            }),
        );
        await waitFor(() => program.notReadyReason() === undefined);
        return { ...program, url: program.urls["callers"] ?? "" };
    };
    return {
        engines,
        service,
        keyValue,
        addEntry,
        entry: await addEntry(),
        [Symbol.asyncDispose]: () => stack[Symbol.asyncDispose](),
    };
};
