import {
    type ConfigurationFollower,
    createConfigurationFollower,
    createConfigurationPeers,
    createConfigurationService,
    defaultFollowerStrategy,
    serializeDocument,
} from "@ibislanding/configuration";
import { createFailure, createFakeClock, createRandom, ErrorCode, type Revision } from "@ibislanding/core";
import { createFakeKeyValueStore } from "@ibislanding/platform";
import type { PeerAddress, PeerClients, PeerService } from "@ibislanding/protocol";
import { type ConfigurationDocument, emptyConfiguration } from "@ibislanding/resources";
import { Err, Ok } from "ts-results";

interface Variant {
    readonly fanOut: number;
    readonly maximumInlineBytes: number;
}

const VARIANTS: Readonly<Record<string, Variant>> = {
    "fan-out 3, offer before a large document": { fanOut: 3, maximumInlineBytes: 2_048 },
    "fan-out 3, document at once": { fanOut: 3, maximumInlineBytes: Infinity },
    "fan-out 2, offer before a large document": { fanOut: 2, maximumInlineBytes: 2_048 },
    "anti-entropy alone": { fanOut: 0, maximumInlineBytes: 2_048 },
};
const LINK_DELAY_MS = 20;
const MEASUREMENT_TIMEOUT_MS = 30_000;

const documentOf = (sizeBytes: number): ConfigurationDocument => ({
    ...emptyConfiguration,
    revision: 1 as Revision,
    recentChanges: [{ changedBy: "x".repeat(sizeBytes) } as never],
});

const measure = async (size: number, sizeBytes: number, name: string, variant: Variant) => {
    const clock = createFakeClock();
    const random = createRandom(size);
    const store = createFakeKeyValueStore(clock);
    const services = new Map<PeerAddress, PeerService>();
    const traffic = { calls: 0, bytes: 0 };

    const clients = {
        call: async (
            address: PeerAddress,
            method: { path: string; requestSerialize: (value: never) => Buffer; },
            request: never,
        ) => {
            traffic.calls++;
            traffic.bytes += method.requestSerialize(request).length;
            await clock.sleep(LINK_DELAY_MS);
            const service = services.get(address) as PeerService;
            const methodName = method.path.endsWith("Fetch") ? "fetch" : "announce";
            const handler = service.implementation[methodName] as unknown as (
                call: { request: unknown; },
                callback: (error: unknown, response?: object) => void,
            ) => void;
            const response = await new Promise<object | undefined>(resolve =>
                handler({ request }, (_, responseMessage) => resolve(responseMessage))
            );
            const definition = service.definition[methodName];
            traffic.bytes += definition?.responseSerialize(response).length ?? 0;
            await clock.sleep(LINK_DELAY_MS);
            return response === undefined ? Err(createFailure(ErrorCode.PeerUnavailable)) : Ok(response);
        },
    } as unknown as PeerClients;

    const addresses = Array.from({ length: size }, (_, index) => `10.0.0.${index}:1` as PeerAddress);
    const followers = addresses.map((ownAddress): ConfigurationFollower => {
        const sample = (count: number): PeerAddress[] =>
            Array.from({ length: Math.min(count, size - 1) }, () => addresses[random.nextInt(size)] as PeerAddress)
                .map(address => (address === ownAddress
                    ? addresses[(addresses.indexOf(ownAddress) + 1) % size] as PeerAddress
                    : address)
                );
        const peers = createConfigurationPeers({ clients, sample, maximumInlineBytes: variant.maximumInlineBytes });
        const strategy = { ...defaultFollowerStrategy, fanOut: variant.fanOut };
        const follower = createConfigurationFollower({ store, peers, clock, random, strategy });
        services.set(ownAddress, createConfigurationService(follower));
        return follower;
    });
    await clock.advance(1_000);
    store.setUnavailable(true);
    await clock.advance(2_000);

    const idleBefore = { ...traffic };
    await clock.advance(5_000);
    const idleBytes = (traffic.bytes - idleBefore.bytes) / 5 / size;

    const before = { ...traffic };
    const startMs = clock.monotonicMs();
    void followers[0]?.offer(documentOf(sizeBytes));
    const isAppliedEverywhere = (): boolean => followers.every(follower => follower.current()?.revision === 1);
    while (!isAppliedEverywhere() && clock.monotonicMs() - startMs < MEASUREMENT_TIMEOUT_MS) {
        await clock.advance(20);
    }
    const inForceMs = clock.monotonicMs() - startMs;
    await clock.advance(1_000);
    return {
        size,
        documentBytes: serializeDocument(documentOf(sizeBytes)).length,
        variant: name,
        inForceMs,
        callsPerNode: Math.round((traffic.calls - before.calls) / size * 10) / 10,
        documentsPerNode: Math.round((traffic.bytes - before.bytes) / size / sizeBytes * 100) / 100,
        idleBytesPerSecond: Math.round(idleBytes),
    };
};

const run = async (): Promise<void> => {
    for (const size of process.argv.slice(2).map(Number)) {
        for (const sizeBytes of [1_000, 100_000]) {
            for (const [name, variant] of Object.entries(VARIANTS)) {
                process.stdout.write(`${JSON.stringify(await measure(size, sizeBytes, name, variant))}\n`);
            }
        }
    }
    process.exit(0);
};

void run();
