import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { emptyServicePlan, type ServicePlan } from "@ibislanding/placement";
import type { KeyValueEntry, KeyValueStore } from "@ibislanding/platform";
import { Err, Ok, type Result } from "ts-results";
import { planKey } from "./planKey";
import type { StoredPlan } from "./storedPlan";

const parsePlan = (service: string, entry: KeyValueEntry | undefined): Result<StoredPlan, Failure> => {
    if (entry === undefined) {
        return Ok({ plan: emptyServicePlan(service), version: 0 });
    }
    try {
        return Ok({ plan: JSON.parse(entry.value) as ServicePlan, version: entry.version });
    }
    catch {
        return Err(createFailure(ErrorCode.Internal, { message: "The stored plan is not valid JSON." }));
    }
};

/** Reads the stored plan of a service: an empty plan with version 0 if there is none, a failure if it isn't valid JSON. */
export const readPlan = async (store: KeyValueStore, service: string): Promise<Result<StoredPlan, Failure>> =>
    (await store.get(planKey(service), { cause: "control-read" })).andThen(entry => parsePlan(service, entry));
