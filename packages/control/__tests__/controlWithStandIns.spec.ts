import { configurationKey, serializeDocument } from "@ibislanding/configuration";
import { controlSettingsSchema, startControl } from "@ibislanding/control";
import {
    type AvailabilityZone,
    createResourceStack,
    createSystemClock,
    createSystemRandom,
    type HostId,
    type Region,
} from "@ibislanding/core";
import { createHttpClient, createHttpHostList, createHttpKeyValueStore } from "@ibislanding/platform";
import { type ConfigurationDocument, parseManifestText } from "@ibislanding/resources";
import { createMetricsRegistry, type Logger } from "@ibislanding/runtime";
import {
    createCloudStandIn,
    createEngineStandIn,
    createHostListStandIn,
    createKeyValueStandIn,
    createWeightStoreStandIn,
    defaultEngineProfile,
} from "@ibislanding/standins";
import { createHttpEngineClient } from "@ibislanding/upstreams";

const ZONES = ["marmara-a", "ege-a", "ic-anadolu-a"];

const MANIFEST = `
[[resources]]
kind = "MachineClass"
name = "standard"
team = "platform"
spec = { prefillTokensPerSecond = 20000, concurrentSequences = 16, pricePerHour = 3, reclaimablePricePerHour = 1 }

[[resources]]
kind = "Service"
name = "advisor"
team = "platform"
spec = { type = "engine", repeatable = true, honoursFencing = true }

[[resources]]
kind = "ModelVersion"
name = "advisor-2"
team = "platform"
spec = { model = "advisor", service = "advisor", version = "2", artifact = "advisor-2" }

[[resources]]
kind = "Placement"
name = "advisor"
team = "platform"
spec = { service = "advisor", minimumReplicas = 3, maximumReplicas = 6, availabilityZones = ${JSON.stringify(ZONES)},
    machineClasses = ["standard"], reclaimableShare = 1 }
`.replace(/,\n\s+machine/, ", machine");

const toDocument = (): ConfigurationDocument => ({
    revision: 1 as never,
    recentChanges: [],
    resources: parseManifestText(MANIFEST).unwrap().map(manifest => ({
        ...manifest,
        generation: 1,
        version: 1,
        changedBy: "test",
        changedAtMs: 0,
    })) as never,
});

const silentLogger: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} };

const startSystem = async () => {
    const resources = createResourceStack();
    const keyValue = resources.use(await createKeyValueStandIn(0));
    const hostListServer = resources.use(await createHostListStandIn(0, 100));
    const weightStore = resources.use(
        await createWeightStoreStandIn(0, { loadsPerSecond: 4, burstLoads: 2, sizeBytes: 1 }),
    );
    const cloud = resources.use(
        await createCloudStandIn(0, {
            hostListUrl: hostListServer.url,
            offers: ZONES.map(zone => ({
                machineClass: "standard",
                region: zone as Region,
                availabilityZone: zone as AvailabilityZone,
                reclaimable: true,
                pricePerHour: 1,
            })),
            checksFencing: true,
            startDelayMs: 50,
            plainServices: [],
            startUpstream: upstreamId =>
                createEngineStandIn(0, { ...defaultEngineProfile, upstreamId, model: "none", reportLagMs: 50 }),
        }),
    );
    const store = resources.use(createHttpKeyValueStore(keyValue.url));
    const value = serializeDocument(toDocument());
    await store.compareAndSwap({ key: configurationKey, expectedVersion: 0, value }, { cause: "configuration-write" });
    const listener = { address: "127.0.0.1", port: 0, tls: "off" };
    const settings = controlSettingsSchema.parse({
        process: { region: "marmara", availabilityZone: "marmara-a", operations: listener },
        platform: {
            keyValueUrl: keyValue.url,
            hostListUrl: hostListServer.url,
            cloudUrl: cloud.url,
            weightStoreUrl: weightStore.url,
        },
        internal: listener,
        control: { leaseDurationMs: 1_000, longestPauseMs: 500, roundIntervalMs: 100, cloudHonoursFencing: true },
    });
    const controls = await Promise.all(["control-1", "control-2"].map(hostId =>
        startControl({
            settings,
            hostId: hostId as HostId,
            logger: silentLogger,
            metrics: createMetricsRegistry(),
            clock: createSystemClock(),
            random: createSystemRandom(),
        })
    ));
    controls.forEach(resources.use);
    const http = resources.use(createHttpClient());
    return {
        controls,
        store,
        hostList: resources.use(createHttpHostList(hostListServer.url)),
        post: (path: string, body: unknown) =>
            http.send({ method: "POST", url: `${cloud.url}${path}`, body: JSON.stringify(body), timeoutMs: 5_000 }),
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};

type System = Awaited<ReturnType<typeof startSystem>>;

/** Zones of the live upstreams that run the declared model version. */
const servingZones = async ({ hostList }: System): Promise<readonly string[]> => {
    const live = (await hostList.listUpstreams()).unwrap().filter(({ phase }) => phase === "live");
    const zones = await Promise.all(live.map(async ({ url, availabilityZone }) => {
        await using engine = createHttpEngineClient(url);
        const load = await engine.load();
        return load.ok && load.val.modelVersions["advisor"] === "2" && !load.val.leaving ? [availabilityZone] : [];
    }));
    return zones.flat().sort();
};

const untilServing = async (system: System, isExpected: (zones: readonly string[]) => boolean): Promise<void> => {
    while (!isExpected(await servingZones(system))) {
        await new Promise(resolve => setTimeout(resolve, 50));
    }
};

const countLive = async ({ store }: System): Promise<number> => {
    const entry = (await store.get("status/Placement/advisor", { cause: "experiment" })).unwrap();
    const { zones } = JSON.parse(entry?.value ?? "{\"zones\":[]}") as { zones: readonly { live: number; }[]; };
    return zones.reduce((sum, { live }) => sum + live, 0);
};

describe("startControl with stand-ins", () => {
    it("starts hosts, loads models, replaces a reclaimed zone, and hands the lease over at a graceful stop", async () => {
        await using system = await startSystem();
        await untilServing(system, zones => ZONES.every(zone => zones.includes(zone)));
        await system.post("/refusals", { rules: [{ availabilityZone: "ege-a" }] });
        await system.post("/reclaims", { availabilityZone: "ege-a", noticeMs: 500 });
        await untilServing(system, zones => zones.length === 3 && !zones.includes("ege-a"));
        const holder = system.controls.findIndex(control =>
            JSON.stringify(control.stateDump()).includes("\"grant\":{")
        );
        await system.controls[holder]?.drain(5_000);
        await system.post("/refusals", { rules: [] });
        await system.post("/reclaims", { availabilityZone: "marmara-a", noticeMs: 500 });
        await untilServing(system, zones => zones.length === 3);
        while (await countLive(system) !== 3) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    });
});
