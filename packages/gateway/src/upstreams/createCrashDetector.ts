import type { CrashDetector } from "./crashDetector";
import type { CrashDetectorOptions } from "./crashDetectorOptions";
import type { LostRun } from "./lostRun";
import type { UpstreamRecord } from "./upstreamRecord";

/** Time for the registry to drop an upstream that crashed; its entry lapses within a few seconds. */
const REGISTRY_TIMEOUT_MS = 6_000;

/** Time for which a crash is remembered for the other answers that it ended. */
const CRASH_RETENTION_MS = 1_000;

/** A start of an upstream that has lost answers. */
interface Loss {
    /** The answers that were lost until it is known whether the upstream crashed. */
    readonly waiting: LostRun[];
    readonly lostAtMs: number;
    hasCrashed: boolean;
}

/**
 * Creates a detector without losses.
 *
 * Handles answers that break off while the upstream keeps running, because of a reset, a cut link or a fault of the
 * upstream, and upstreams that stop as announced. An upstream has crashed if nothing listens at its address any more, or
 * if it can't be reached and its registration lapses.
 */
export const createCrashDetector = (
    { clock, sharedNowMs, upstreams, probe, onCrash }: CrashDetectorOptions,
): CrashDetector => {
    const losses = new Map<string, Loss>();

    const report = (
        { upstreamId, startedAtMs }: UpstreamRecord,
        loss: Loss,
        lost: LostRun,
    ): void => onCrash({ ...lost, upstreamId, startedAtMs, crashedAtMs: loss.lostAtMs });

    const confirm = (upstream: UpstreamRecord, key: string, loss: Loss): void => {
        loss.hasCrashed = true;
        loss.waiting.splice(0).forEach(lost => report(upstream, loss, lost));
        clock.setTimer(CRASH_RETENTION_MS, () => void losses.delete(key));
    };

    const awaitRegistry = (upstream: UpstreamRecord, key: string, loss: Loss): void => {
        const timer = clock.setTimer(REGISTRY_TIMEOUT_MS, () => {
            cancel();
            losses.delete(key);
        });
        const cancel = upstreams.onDeparture(upstream.upstreamId, () => {
            timer.cancel();
            if (upstreams.isLeaving(upstream)) {
                losses.delete(key);
                return;
            }
            confirm(upstream, key, loss);
        });
    };

    const investigate = async (upstream: UpstreamRecord, key: string, loss: Loss): Promise<void> => {
        const result = await probe(upstream.address);
        if (result === "refused") {
            confirm(upstream, key, loss);
            return;
        }
        if (result === "listening") {
            losses.delete(key);
            return;
        }
        awaitRegistry(upstream, key, loss);
    };

    return {
        recordLoss: (upstream, lost) => {
            const key = `${upstream.upstreamId}/${upstream.startedAtMs}`;
            const known = losses.get(key);
            if (known?.hasCrashed === true) {
                report(upstream, known, lost);
                return;
            }
            if (known !== undefined) {
                known.waiting.push(lost);
                return;
            }
            // An upstream that leaves stops on its own.
            if (!upstreams.isDeparting(upstream)) {
                const loss = { waiting: [lost], lostAtMs: sharedNowMs(), hasCrashed: false };
                losses.set(key, loss);
                void investigate(upstream, key, loss);
            }
        },
    };
};
