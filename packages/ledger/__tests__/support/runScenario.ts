import {
    type AccountId,
    type ActionKey,
    createFailure,
    createFakeClock,
    createHasher,
    createRandom,
    ErrorCode,
    type Failure,
    type HostId,
} from "@ibislanding/core";
import {
    type ActionAnswer,
    type ActionLedgerOptions,
    type ActionOutcome,
    type ClaimStrategy,
    createActionLedger,
    defaultLedgerLimits,
    defaultLedgerTiming,
    type LedgerPeers,
    type ServiceCapabilities,
} from "@ibislanding/ledger";
import { createFakeKeyValueStore } from "@ibislanding/platform";
import { Err, Ok, type Result } from "ts-results";
import { createFaultyStore } from "./createFaultyStore";
import { createHostGate } from "./createHostGate";
import type { History } from "./history";
import type { Scenario } from "./scenario";

const STORE_TIMEOUT_MS = 30;
const PEER_TIMEOUT_MS = 40;
const SETTLE_MS = 30_000;
const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

const limits = {
    ...defaultLedgerLimits,
    shardCount: 2,
    sealBytes: 700,
    maximumSegmentBytes: 4_000,
    mergeSegmentCount: 3,
    retentionMs: HOUR_MS,
};

const timing = { ...defaultLedgerTiming, storeTimeoutMs: STORE_TIMEOUT_MS, claimTimeoutMs: 200, recordTimeoutMs: 100 };

/** Runs a scenario, ends its faults, makes a final attempt for each key, and returns the observations. */
export const runScenario = async (
    scenario: Scenario,
    strategy: ClaimStrategy,
    service: ServiceCapabilities = { repeatable: false, deduplicates: false },
): Promise<History> => {
    const clock = createFakeClock(1_000_000);
    const random = createRandom(scenario.seed);
    const hasher = await createHasher();
    const store = createFakeKeyValueStore(clock);
    const effects: History["effects"][number][] = [];
    const attempts: History["attempts"][number][] = [];
    let faultsEnded = false;
    const hasFault = (): boolean => !faultsEnded && random.nextInt(100) < scenario.faultPercent;

    const gates = Array.from({ length: scenario.hostCount }, createHostGate);
    const writers = gates.map((_, host) => ({ hostId: `host-${host}` as HostId, address: `10.0.0.${host}:1` }));
    const indexOf = (hostId: HostId): number => writers.findIndex(writer => writer.hostId === hostId);

    const callPeer = <T>(host: number, hostId: HostId, call: (peer: number) => Promise<Result<T, Failure>>) => {
        const peer = indexOf(hostId);
        const answered = (async () => {
            await gates[host]?.waitUntilRunning();
            await clock.sleep(1 + random.nextInt(5));
            await gates[peer]?.waitUntilRunning();
            return call(peer);
        })();
        const timedOut = clock.sleep(PEER_TIMEOUT_MS).then(() => Err(createFailure(ErrorCode.PeerUnavailable)));
        return hasFault() ? timedOut : Promise.race([answered, timedOut]);
    };

    const peersOf = (host: number): LedgerPeers => ({
        claimStatus: (writer, claimId) =>
            callPeer(host, writer.hostId, async peer => Ok(ledgers[peer]!.peerHandler.claimStatus(claimId))),
        forward: (writer, shard, operation) =>
            callPeer(host, writer.hostId, peer => ledgers[peer]!.peerHandler.commit(shard, operation)),
    });

    const optionsOf = (host: number): ActionLedgerOptions => {
        const waitUntilRunning = gates[host]!.waitUntilRunning;
        const { sleep } = clock;
        const hostClock = {
            ...clock,
            sleep: (ms: number, signal?: AbortSignal) => sleep(ms, signal).then(waitUntilRunning),
        };
        return {
            self: writers[host]!,
            store: createFaultyStore({
                store,
                clock,
                random,
                waitUntilRunning,
                hasFault,
                timeoutMs: STORE_TIMEOUT_MS,
            }),
            peers: peersOf(host),
            hosts: { liveEntryHosts: () => hasFault() ? writers.slice(0, 1) : writers },
            clock: hostClock,
            random,
            hasher,
            limits,
            timing,
            strategy,
            onError: error => {
                throw error;
            },
        };
    };
    const ledgers = writers.map((_, host) => createActionLedger(optionsOf(host)));

    const runEffect = (id: string, attempt: number): ActionAnswer => {
        const repeated = effects.find(effect => effect.id === id);
        const effect = service.deduplicates && repeated !== undefined ? repeated : { id, attempt };
        if (effect !== repeated) {
            effects.push(effect);
        }
        return { status: 200, headers: { "x-by": "upstream" }, body: Buffer.from(`${id} by ${effect.attempt}`) };
    };

    const send = async (host: number, id: string, attempt: number): Promise<Result<ActionAnswer, Failure>> => {
        await gates[host]?.waitUntilRunning();
        await clock.sleep(random.nextInt(40));
        const faults = [
            () => Err(createFailure(ErrorCode.UpstreamRefused)),
            () => Err(createFailure(ErrorCode.UpstreamUnreachable)),
            () => {
                runEffect(id, attempt);
                return Err(createFailure(ErrorCode.UpstreamSilent));
            },
            () => {
                void clock.sleep(random.nextInt(500)).then(() => runEffect(id, attempt));
                return Err(createFailure(ErrorCode.UpstreamSilent));
            },
        ];
        const fault = hasFault() ? faults[random.nextInt(faults.length)] : undefined;
        const result = fault === undefined ? Ok(runEffect(id, attempt)) : fault();
        await clock.sleep(random.nextInt(40));
        await gates[host]?.waitUntilRunning();
        return result;
    };

    const startAttempt = ({ host, account, key, otherBody }: Omit<Scenario["attempts"][number], "atMs">): void => {
        const attempt = attempts.length;
        const id = `${account}/${key}`;
        const record = (outcome: Result<ActionOutcome, Failure>): void => {
            attempts[attempt] = { id, attempt, outcome };
        };
        attempts.push({ id, attempt, outcome: undefined });
        void ledgers[host]!.runAction({
            accountId: `account-${account}` as AccountId,
            key: `key-${key}` as ActionKey,
            requestSha256: otherBody ? "other" : "usual",
            timeoutMs: 400,
            service,
            send: () => send(host, id, attempt),
        }).then(async outcome => {
            await gates[host]?.waitUntilRunning();
            record(outcome);
        });
    };

    const eventHandlers: Readonly<Record<Scenario["events"][number]["kind"], (host: number) => void>> = {
        // Host 0 never crashes, because it makes the final attempts.
        crash: host => host > 0 && gates[host]?.crash(),
        pause: host => gates[host]?.pause(),
        resume: host => gates[host]?.resume(),
        outage: () => store.setUnavailable(true),
        outageEnd: () => store.setUnavailable(false),
        jumpClock: () => clock.shiftWallClock(DAY_MS * (random.nextInt(2) === 0 ? 1 : -1)),
    };
    scenario.attempts.forEach(attempt =>
        clock.setTimer(attempt.atMs, () => startAttempt({ ...attempt, host: attempt.host % scenario.hostCount }))
    );
    scenario.events.forEach(({ atMs, host, kind }) =>
        clock.setTimer(atMs, () => eventHandlers[kind](host % scenario.hostCount))
    );
    await clock.advance(2_500);
    faultsEnded = true;
    store.setUnavailable(false);
    gates.forEach(gate => gate.resume());
    await clock.advance(SETTLE_MS);
    const retried = new Map(scenario.attempts.map(({ account, key }) => [`${account}/${key}`, { account, key }]));
    const firstFinalAttempt = attempts.length;
    retried.forEach(({ account, key }) => startAttempt({ host: 0, account, key, otherBody: false }));
    await clock.advance(SETTLE_MS);
    const unrecordedEnds = ledgers
        .filter((_, host) => !gates[host]?.isCrashed())
        .reduce((sum, ledger) => sum + ledger.dump().unrecordedEnds, 0);
    return { attempts, effects, firstFinalAttempt, unrecordedEnds };
};
