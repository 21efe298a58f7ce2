import type { Clock } from "@ibislanding/core";
import type { ConfirmationAge } from "./confirmationAge";

/**
 * Creates the age of a list that was never confirmed.
 *
 * Handles hosts that stand still or are cut off: how long ago the list was confirmed is taken from the clock that shows more, as
 * the steady one does not count the time for which a machine is suspended, and that of the day may be set back.
 */
export const createConfirmationAge = (clock: Pick<Clock, "monotonicMs" | "wallMs">): ConfirmationAge => {
    let confirmed: { readonly monotonicMs: number; readonly wallMs: number; } | undefined;

    const ageMs = (): number =>
        confirmed === undefined
            ? Infinity
            : Math.max(clock.monotonicMs() - confirmed.monotonicMs, clock.wallMs() - confirmed.wallMs);

    return {
        ageMs,
        confirm: agoMs => {
            if (agoMs < ageMs()) {
                confirmed = { monotonicMs: clock.monotonicMs() - agoMs, wallMs: clock.wallMs() - agoMs };
            }
        },
        revoke: () => {
            confirmed = undefined;
        },
    };
};
