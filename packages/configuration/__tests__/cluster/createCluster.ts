import {
    type ConfigurationFollower,
    type ConfigurationOperation,
    type ConfigurationPeers,
    createConfigurationFollower,
    createConfigurationWriter,
    defaultFollowerStrategy,
    type FollowerStrategy,
} from "@ibislanding/configuration";
import { createFailure, createFakeClock, createRandom, ErrorCode } from "@ibislanding/core";
import { createFakeKeyValueStore, type KeyValueStore } from "@ibislanding/platform";
import type { PeerAddress } from "@ibislanding/protocol";
import { Err, Ok, type Result } from "ts-results";
import { createStaleStore } from "./createStaleStore";

export interface ClusterOptions {
    readonly seed: number;
    readonly size: number;
    readonly strategy?: FollowerStrategy;
    readonly staleRate?: number;
    readonly lossRate?: number;
    /** Wraps the store that writers use. */
    readonly writerStore?: (store: KeyValueStore) => KeyValueStore;
    readonly maximumAttempts?: number;
}

interface Process {
    readonly address: PeerAddress;
    readonly follower: ConfigurationFollower;
    /** Revisions in the order in which the follower adopted them. */
    readonly revisions: number[];
}

const CALL_DELAY_MS = 20;

/** Runs followers and writers on one fake store and a network that drops and duplicates messages. */
export const createCluster = (options: ClusterOptions) => {
    const { seed, size, strategy = defaultFollowerStrategy, lossRate = 0 } = options;
    const clock = createFakeClock(1_800_000_000_000);
    const random = createRandom(seed);
    const store = createFakeKeyValueStore(clock, () => clock.sleep(random.nextInt(5)));
    let staleRate = options.staleRate ?? 0;
    const staleStore = createStaleStore(store, clock, random, () => staleRate);
    const running = new Map<PeerAddress, Process>();
    const stoppedProcesses: Process[] = [];

    const isDropped = (): boolean => random.nextFloat() < lossRate;

    const callPeer = async <T>(peer: PeerAddress, handle: (process: Process) => T): Promise<Result<T, never>> => {
        await clock.sleep(CALL_DELAY_MS);
        const process = running.get(peer);
        const unavailable = Err(createFailure(ErrorCode.PeerUnavailable)) as Result<T, never>;
        if (process === undefined || isDropped()) {
            return unavailable;
        }
        const response = handle(process);
        return isDropped() ? unavailable : Ok(response);
    };

    const createPeers = (ownAddress: PeerAddress): ConfigurationPeers => ({
        sample: count =>
            [...running.keys()].filter(address => address !== ownAddress)
                .map(address => [random.nextFloat(), address] as const)
                .sort(([left], [right]) => left - right)
                .slice(0, count).map(([, address]) => address),
        fetch: (peer, knownRevision) =>
            callPeer(peer, ({ follower }) => {
                const document = follower.current();
                const isNewer = document !== undefined && document.revision > (knownRevision ?? -1);
                return { revision: document?.revision, document: isNewer ? document : undefined };
            }),
        announce: (peer, document) => {
            const repeats = random.nextFloat() < lossRate ? 2 : 1;
            const sends = Array.from(
                { length: repeats },
                () => callPeer(peer, ({ follower }) => void follower.offer(document)),
            );
            return Promise.any(sends);
        },
    });

    const start = (address: PeerAddress): Process => {
        const revisions: number[] = [];
        const peers = createPeers(address);
        const onAdvance = (document: { readonly revision: number; }): void => void revisions.push(document.revision);
        const follower = createConfigurationFollower({ store: staleStore, peers, clock, random, onAdvance, strategy });
        const process = { address, follower, revisions };
        running.set(address, process);
        return process;
    };

    const stop = async (address: PeerAddress): Promise<void> => {
        const process = running.get(address) as Process;
        running.delete(address);
        stoppedProcesses.push(process);
        const disposed = process.follower[Symbol.asyncDispose]();
        await clock.advance(100);
        await disposed;
    };

    const addresses = Array.from({ length: size }, (_, index) => `10.0.0.${index}:1` as PeerAddress);
    addresses.forEach(start);
    const processAt = (index: number): Process => running.get(addresses[index % size] as PeerAddress) as Process;

    return {
        clock,
        store,
        running: () => [...running.values()],
        allProcesses: () => [...running.values(), ...stoppedProcesses],
        setStaleRate: (rate: number): void => {
            staleRate = rate;
        },
        apply: (index: number, operation: ConfigurationOperation) => {
            const { follower, address } = processAt(index);
            const writerStore = (options.writerStore ?? (same => same))(staleStore);
            const { maximumAttempts } = options;
            const onAccepted = follower.offer;
            const writer = createConfigurationWriter({
                store: writerStore,
                clock,
                random,
                onAccepted,
                maximumAttempts,
            });
            return writer.apply(operation, address);
        },
        start: (index: number) => start(`10.0.1.${index}:1` as PeerAddress),
        restart: async (index: number): Promise<void> => {
            const { address } = processAt(index);
            await stop(address);
            start(address);
        },
        dispose: async (): Promise<void> => {
            store.setUnavailable(false);
            const disposed = [...running.values()].map(process => process.follower[Symbol.asyncDispose]());
            await clock.advance(5_000);
            await Promise.all(disposed);
        },
    };
};
