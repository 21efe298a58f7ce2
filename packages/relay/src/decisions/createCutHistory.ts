import type { CutHistory } from "./cutHistory";

/** Time before a cut is noticed in which failures may be due to it. */
const NOTICE_MS = 1_000;

/** Number of cuts that are remembered: crashes are confirmed up to some seconds after they were seen. */
const REMEMBERED_CUTS = 8;

interface Cut {
    readonly fromMs: number;
    untilMs: number;
    wasCutOff: boolean | undefined;
}

/**
 * Creates a history without cuts; `nowMs` is monotonic.
 *
 * Handles connections that are reset by a cut while the upstream is well, and whose loss is judged only after the cut has
 * been noticed or has ended.
 */
export const createCutHistory = (nowMs: () => number): CutHistory => {
    const cuts: Cut[] = [];
    return {
        begin: () => {
            cuts.push({ fromMs: nowMs(), untilMs: Infinity, wasCutOff: undefined });
            cuts.splice(0, cuts.length - REMEMBERED_CUTS);
        },
        end: wasCutOff => {
            const current = cuts.at(-1);
            if (current !== undefined) {
                current.untilMs = nowMs();
                current.wasCutOff = wasCutOff;
            }
        },
        classify: seenAtMs => {
            const cut = cuts.findLast(({ fromMs, untilMs }) => seenAtMs >= fromMs - NOTICE_MS && seenAtMs <= untilMs);
            if (cut === undefined) {
                return "reached";
            }
            return cut.wasCutOff === undefined ? "open" : cut.wasCutOff ? "cut-off" : "all-down";
        },
    };
};
