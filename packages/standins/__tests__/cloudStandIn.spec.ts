import { type AvailabilityZone, createResourceStack, ErrorCode, type Region } from "@ibislanding/core";
import {
    createHttpClient,
    createHttpCloudApi,
    createHttpHostList,
    createHttpWeightStore,
    type StartHostRequest,
} from "@ibislanding/platform";
import {
    createCloudStandIn,
    createEngineStandIn,
    createHostListStandIn,
    createWeightStoreStandIn,
    defaultEngineProfile,
} from "@ibislanding/standins";
import { createHttpEngineClient } from "@ibislanding/upstreams";

const ZONE = "ege-a" as AvailabilityZone;

const startRequest: StartHostRequest = {
    operationId: "advisor/1",
    service: "advisor",
    machineClass: "standard",
    availabilityZone: ZONE,
    reclaimable: true,
    fencingNumber: 3,
};

const createPlatform = async () => {
    const resources = createResourceStack();
    const hostListServer = resources.use(await createHostListStandIn(0));
    const cloudServer = resources.use(
        await createCloudStandIn(0, {
            hostListUrl: hostListServer.url,
            offers: [{
                machineClass: "standard",
                region: "ege" as Region,
                availabilityZone: ZONE,
                reclaimable: true,
                pricePerHour: 1,
            }],
            checksFencing: true,
            startDelayMs: 0,
            plainServices: [],
            startUpstream: upstreamId => createEngineStandIn(0, { ...defaultEngineProfile, upstreamId }),
        }),
    );
    const http = resources.use(createHttpClient());
    return {
        cloud: resources.use(createHttpCloudApi(cloudServer.url)),
        hostList: resources.use(createHttpHostList(hostListServer.url)),
        post: (path: string, body: unknown) =>
            http.send({
                method: "POST",
                url: `${cloudServer.url}${path}`,
                body: JSON.stringify(body),
                timeoutMs: 5_000,
            }),
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};

const until = async (condition: () => Promise<boolean>): Promise<void> => {
    while (!await condition()) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
};

describe("createCloudStandIn", () => {
    it("starts one host per operation even if the response was lost, and rejects stale fencing numbers", async () => {
        await using platform = await createPlatform();
        const { cloud, hostList } = platform;
        await platform.post("/faults", { loseAnswers: 1 });
        const lost = await cloud.startHost(startRequest);
        expect(lost.err && lost.val.code).toBe(ErrorCode.PlatformUnavailable);
        expect((await cloud.startHost(startRequest)).unwrap()).toBe("host-1");
        await until(async () => (await hostList.listUpstreams()).unwrap().length > 0);
        expect((await hostList.listUpstreams()).unwrap()).toMatchObject([{ upstreamId: "host-1", region: "ege" }]);
        const stale = await cloud.startHost({ ...startRequest, operationId: "advisor/2", fencingNumber: 2 });
        expect(stale.err && stale.val.code).toBe(ErrorCode.StaleFencingNumber);
        expect((await cloud.stopHost("host-1" as never, 2)).err).toBe(true);
        expect((await cloud.stopHost("host-1" as never, 3)).ok).toBe(true);
        await until(async () => (await hostList.listUpstreams()).unwrap()[0]?.phase === "gone");
    });

    it("refuses starts that match a rule, except retries of an operation that already started a host", async () => {
        await using platform = await createPlatform();
        const { cloud } = platform;
        await cloud.startHost(startRequest);
        await platform.post("/refusals", { rules: [{ availabilityZone: ZONE, retryAfterMs: 700 }] });
        expect((await cloud.startHost(startRequest)).ok).toBe(true);
        const refused = await cloud.startHost({ ...startRequest, operationId: "advisor/2" });
        expect(refused.err && refused.val).toMatchObject({ code: ErrorCode.PlatformRefused, retryAfterMs: 700 });
    });

    it("announces a reclaim to the control process, the host list and the engine, then stops the host", async () => {
        await using platform = await createPlatform();
        const { cloud, hostList } = platform;
        await cloud.startHost(startRequest);
        await until(async () => (await hostList.listUpstreams()).unwrap().length > 0);
        const [record] = (await hostList.listUpstreams()).unwrap();
        await using engine = createHttpEngineClient(record?.url ?? "");
        const waiting = cloud.reclaimNotices(0, 5_000);
        await platform.post("/reclaims", { availabilityZone: ZONE, noticeMs: 300 });
        expect((await waiting).unwrap()).toMatchObject([{ upstreamId: "host-1", sequence: 1 }]);
        await until(async () => (await hostList.listUpstreams()).unwrap()[0]?.phase === "gone");
        expect((await engine.load()).err).toBe(true);
    });
});

describe("createWeightStoreStandIn", () => {
    it("grants loads up to the burst size and then refuses with a retry delay", async () => {
        await using server = await createWeightStoreStandIn(0, { loadsPerSecond: 0.001, burstLoads: 2, sizeBytes: 7 });
        await using weights = createHttpWeightStore(server.url);
        const results = [
            await weights.reserveLoad("a"),
            await weights.reserveLoad("a"),
            await weights.reserveLoad("b"),
        ];
        expect(results.map(result => (result.ok ? result.val.sizeBytes : result.val.code)))
            .toEqual([7, 7, ErrorCode.PlatformRefused]);
        expect(results[2]?.err && (results[2].val.retryAfterMs ?? 0) > 1_000).toBe(true);
    });
});
