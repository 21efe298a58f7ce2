import type { CutHistory } from "@ibislanding/relay";

/**
 * Time after which a crash is judged that this host saw while it reached no upstream, or could not show that it reached one: peers
 * report within it whether they reach upstreams, and a host notices a cut within it.
 */
const VERDICT_DELAY_MS = 1_000;

/** What a host knows of its links to a service at which it saw a crash. */
interface CrashWitness {
    /** State of the links when the crash was seen, as known now. */
    readonly classify: () => ReturnType<CutHistory["classify"]>;
    /** Whether the host has reached another upstream since, or does so now. */
    readonly confirmReach: () => Promise<boolean>;
    /** Whether there is another upstream that could be reached. */
    readonly hasOthers: () => boolean;
    readonly isCutOff: () => boolean;
    readonly sleep: (delayMs: number) => Promise<void>;
}

/**
 * Resolves with whether a lost answer is evidence of a crash of its upstream.
 *
 * Handles hosts that are cut off, to which all upstreams seem to have crashed, also if the process is so delayed that none of its
 * checks of the upstreams counts: what a host saw that reached nothing itself is evidence of nothing.
 */
export const judgeCrash = async (
    { classify, confirmReach, hasOthers, isCutOff, sleep }: CrashWitness,
): Promise<boolean> => {
    if (classify() === "reached" && await confirmReach()) {
        return true;
    }
    if (classify() === "open" || classify() === "reached") {
        await sleep(VERDICT_DELAY_MS);
    }
    const verdict = classify();
    if (verdict === "reached") {
        return !hasOthers() || await confirmReach();
    }
    return verdict === "all-down" || verdict === "open" && !isCutOff();
};
