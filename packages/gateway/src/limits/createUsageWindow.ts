import type { Clock } from "@ibislanding/core";
import type { UsageWindow } from "./usageWindow";

/** Parts into which a window is divided; the oldest part leaves as a whole. */
const PARTS = 32;

/** Creates an empty window. */
export const createUsageWindow = (clock: Clock, windowMs: number): UsageWindow => {
    const partMs = windowMs / PARTS;
    let parts: { readonly index: number; units: number; }[] = [];

    const currentIndex = (): number => Math.floor(clock.monotonicMs() / partMs);

    const dropOld = (): void => {
        const oldest = currentIndex() - PARTS;
        if ((parts[0]?.index ?? oldest) < oldest) {
            parts = parts.filter(({ index }) => index >= oldest);
        }
    };

    return {
        add: units => {
            dropOld();
            const last = parts.at(-1);
            if (last?.index === currentIndex()) {
                last.units += units;
                return;
            }
            parts.push({ index: currentIndex(), units });
        },
        sum: () => {
            dropOld();
            return parts.reduce((sum, { units }) => sum + units, 0);
        },
    };
};
