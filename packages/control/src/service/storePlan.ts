import { ErrorCode, type Failure } from "@ibislanding/core";
import type { ServicePlan } from "@ibislanding/placement";
import type { KeyValueStore } from "@ibislanding/platform";
import { Ok, type Result } from "ts-results";
import { planKey } from "./planKey";
import type { StoredPlan } from "./storedPlan";

/** Stores the next plan by compare-and-swap; if the outcome is unknown, reads the key to see whether it was stored. */
export const storePlan = async (
    store: KeyValueStore,
    previous: StoredPlan,
    plan: ServicePlan,
): Promise<Result<StoredPlan, Failure>> => {
    const key = planKey(plan.service);
    const value = JSON.stringify(plan);
    const request = { key, expectedVersion: previous.version, value };
    const result = await store.compareAndSwap(request, { cause: "control-write" });
    if (result.ok || result.val.code !== ErrorCode.KeyValueOutcomeUnknown) {
        return result.map(version => ({ plan, version }));
    }
    const entry = await store.get(key, { cause: "control-read" });
    return entry.ok && entry.val?.value === value ? Ok({ plan, version: entry.val.version }) : result;
};
