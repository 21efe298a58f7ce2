import type { Clock } from "@ibislanding/core";
import type { ConditionTimes } from "./conditionTimes";

const MAXIMUM_CONDITIONS = 20_000;

/** Creates an empty record of condition times, bounded by evicting the entry with the least recent change. */
export const createConditionTimes = (clock: Clock): ConditionTimes => {
    const conditions = new Map<string, { readonly status: string; readonly changedAtMs: number; }>();
    return {
        changedAtMs: (condition, status) => {
            const known = conditions.get(condition);
            if (known?.status === status) {
                return known.changedAtMs;
            }
            const changedAtMs = clock.wallMs();
            conditions.delete(condition);
            conditions.set(condition, { status, changedAtMs });
            if (conditions.size > MAXIMUM_CONDITIONS) {
                [...conditions.keys()].slice(0, 1).forEach(oldest => conditions.delete(oldest));
            }
            return changedAtMs;
        },
    };
};
