// Guards against hosts of a small group that confirm their sets at the same time, and so each for itself: they would ask the store
// several times as often as is needed for all of them to know how old their sets are.
import { createFakeClock, createRandom } from "@ibislanding/core";
import { createDocumentWatcher } from "@ibislanding/discovery";
import { createStoreEpoch, type KeyValueChanges, type KeyValueHistory } from "@ibislanding/platform";
import { Ok } from "ts-results";
import { confirmationWaitMs } from "../src/confirmationWaitMs";
import { createDocumentAges } from "../src/createDocumentAges";
import { refreshDueInMs } from "../src/refreshDueInMs";

const SET = "upstreams";
const STEP_MS = 50;
const STORE_ANSWER_MS = 20;
const REPORT_INTERVAL_MS = 500;
const REPORT_MS = 20;
const FANOUT = 2;
const DURATION_MS = 60_000;

/** Plays a group whose set changes at an interval; returns the calls to the store and the highest age. */
const playGroup = async (hostCount: number, inForceMs: number, changeIntervalMs: number) => {
    const clock = createFakeClock();
    const random = createRandom(1);
    const storeEpoch = createStoreEpoch();
    storeEpoch.observe(1);
    const waiting = new Set<() => void>();
    const seen = { calls: 0, revision: 1, maximumAgeMs: 0 };
    const history: KeyValueHistory = {
        snapshot: async () => Ok({ epoch: 1, revision: seen.revision, entries: [] }),
        changesAfter: async (_prefix, revision, waitMs, { signal }): Promise<Ok<KeyValueChanges>> => {
            seen.calls++;
            const changed = new AbortController();
            const wake = (): void => changed.abort();
            waiting.add(wake);
            if (revision === seen.revision) {
                await clock.sleep(waitMs, AbortSignal.any([changed.signal, ...signal === undefined ? [] : [signal]]));
            }
            waiting.delete(wake);
            await clock.sleep(STORE_ANSWER_MS);
            const entry = { key: `k${seen.revision}`, value: "v", version: seen.revision };
            const changes = revision === seen.revision ? [] : [{ kind: "written" as const, entry }];
            return Ok({ changes, epoch: 1, revision: seen.revision });
        },
    };
    const hosts = Array.from({ length: hostCount }, () => {
        const ages = createDocumentAges(clock, [SET]);
        const watcher = createDocumentWatcher({
            history,
            storeEpoch,
            prefix: "p/",
            clock,
            random,
            watchWaitMs: () => confirmationWaitMs({ hostCount, inForceMs, isCollector: false }, random),
            refreshTimeoutMs: () => inForceMs / 10,
            batchDelayMs: () => 0,
            isRelayed: () => false,
            onChange: () => undefined,
            onChangeFailed: () => undefined,
            onConfirmed: agoMs => ages.confirm(SET, agoMs),
            onReachabilityChange: () => undefined,
        });
        return { ages, watcher, nextReportAtMs: random.nextFloat() * REPORT_INTERVAL_MS };
    });
    const revisionOf = ({ watcher }: typeof hosts[number]): number => watcher.current()?.revision ?? 0;
    /** Answers of a peer to a host: its state some time before. */
    const exchange = (host: typeof hosts[number], peer: typeof hosts[number]): void => {
        const ages = { [SET]: Math.ceil(peer.ages.ageMs(SET)) };
        const newer = revisionOf(peer) > revisionOf(host) ? [SET] : [];
        if (Number.isFinite(ages[SET])) {
            host.ages.observePeer({ positions: { [SET]: [1, revisionOf(peer)] }, ages }, REPORT_MS, newer);
        }
    };
    await clock.advance(STEP_MS);
    while (clock.monotonicMs() < DURATION_MS) {
        const nowMs = clock.monotonicMs();
        if (Math.floor(nowMs / changeIntervalMs) > Math.floor((nowMs - STEP_MS) / changeIntervalMs)) {
            seen.revision++;
            waiting.forEach(wake => wake());
        }
        hosts.filter(({ nextReportAtMs }) => nextReportAtMs <= nowMs).forEach(host => {
            host.nextReportAtMs = nowMs + REPORT_INTERVAL_MS * (0.75 + random.nextFloat() / 2);
            Array.from({ length: FANOUT }, () => hosts[random.nextInt(hostCount)])
                .flatMap(peer => peer === undefined || peer === host ? [] : [peer])
                .forEach(peer => exchange(host, peer));
        });
        hosts.filter(({ ages }) => refreshDueInMs(ages.ageMs(SET), inForceMs) <= 0).forEach(({ watcher }) =>
            watcher.refresh()
        );
        seen.maximumAgeMs = Math.max(seen.maximumAgeMs, ...hosts.map(({ ages }) => ages.ageMs(SET)));
        await clock.advance(STEP_MS);
    }
    const disposed = Promise.all(hosts.map(({ watcher }) => watcher[Symbol.asyncDispose]()));
    await clock.advance(30_000);
    await disposed;
    return seen;
};

test.each([[4, 2_500], [8, 2_500], [8, 4_000], [12, 4_000]])(
    "%i hosts know within %i ms how old a set is, and ask the store half again as often as that takes at most",
    async (hostCount, inForceMs) => {
        const changeIntervalMs = 10_000;
        const { calls, maximumAgeMs } = await playGroup(hostCount, inForceMs, changeIntervalMs);
        const needed = DURATION_MS / (inForceMs * 0.1) + 2 * hostCount * DURATION_MS / changeIntervalMs;
        expect(maximumAgeMs).toBeLessThan(inForceMs);
        expect(calls).toBeLessThan(needed * 1.5);
    },
    60_000,
);
