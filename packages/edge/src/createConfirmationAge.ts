import { type Clock, measureElapsedMs } from "@ibislanding/core";
import type { ConfirmationAge } from "./confirmationAge";

const NEVER = (): number => Infinity;

/**
 * Creates the age of a list that was never confirmed.
 *
 * Handles hosts that stand still or are cut off, and confirmations that arrive late: one that is older than the news of a newer list
 * does not make the own one the newest again.
 */
export const createConfirmationAge = (clock: Pick<Clock, "monotonicMs" | "wallMs">): ConfirmationAge => {
    let ageMs = NEVER;
    let supersededMs = NEVER;
    return {
        ageMs: () => ageMs(),
        newestAgeMs: () => supersededMs() <= ageMs() ? Infinity : ageMs(),
        confirm: agoMs => {
            if (agoMs < ageMs()) {
                const elapsedMs = measureElapsedMs(clock);
                ageMs = () => agoMs + elapsedMs();
            }
        },
        supersede: () => {
            supersededMs = measureElapsedMs(clock);
        },
    };
};
