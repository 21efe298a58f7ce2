import { createFakeClock, createHasher, type UpstreamId } from "@ibislanding/core";
import type { UpstreamRecord } from "@ibislanding/platform";
import type { EngineClient } from "@ibislanding/upstreams";
import { Err, Ok } from "ts-results";
import { createUpstreamDirectory } from "../src/upstreams/createUpstreamDirectory";

const recordOf = (upstreamId: string): UpstreamRecord => ({
    upstreamId,
    kind: "engine",
    service: "advisor",
    url: `http://${upstreamId}`,
    region: "r",
    availabilityZone: "z",
    machineClass: "standard",
    reclaimable: false,
    phase: "live",
} as UpstreamRecord);

describe("createUpstreamDirectory", () => {
    it("continues to poll the other engines while one is hung", async () => {
        const clock = createFakeClock();
        const polls = new Map<string, number>();
        const createEngineClient = (url: string) => ({
            load: async () => {
                polls.set(url, (polls.get(url) ?? 0) + 1);
                return url === "http://frozen" ? new Promise(() => undefined) : Err(undefined);
            },
            cacheEvents: async () => Ok({ events: [], lastSequence: 0 }),
            [Symbol.asyncDispose]: async () => undefined,
        } as unknown as EngineClient & AsyncDisposable);
        const logger = { error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined };
        const directory = createUpstreamDirectory({
            clock,
            hasher: await createHasher(),
            logger,
            hostList: {
                listUpstreams: async () => Ok(["frozen", "well"].map(recordOf)),
                listSystemHosts: async () => Ok([]),
                registerSystemHost: async () => Ok(undefined),
            },
            rankUpstream: () => 0,
            subsetSize: 24,
            createEngineClient,
            createServiceClient: () => {
                throw new Error("no services");
            },
            onLeavingReported: (_upstreamId: UpstreamId) => undefined,
        });
        await clock.advance(20_000);
        expect(polls.get("http://frozen")).toBe(1);
        expect(polls.get("http://well")).toBeGreaterThan(5);
        const disposed = directory[Symbol.asyncDispose]();
        await clock.advance(2_000);
        await disposed;
    });
});
