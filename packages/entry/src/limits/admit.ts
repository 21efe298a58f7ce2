import type { AccountId, Failure } from "@ibislanding/core";
import { admitRequest, releaseRequest } from "@ibislanding/limits";
import type { ResourceOf } from "@ibislanding/resources";
import { Ok, type Result } from "ts-results";
import type { EntryServices } from "../entryServices";
import type { AdmittedRequest } from "./admittedRequest";

/** Admits a request of a client account or rejects it immediately, without queueing. */
export const admit = (
    { limits, clock, random, metrics }: EntryServices,
    account: ResourceOf<"ClientAccount">,
): Result<AdmittedRequest, Failure> => {
    const accountId = account.name as AccountId;
    const admitted = admitRequest(limits, accountId, account.spec, clock.monotonicMs(), random);
    if (admitted.err) {
        metrics.refusals.add(1, { account: account.name, code: admitted.val.code });
        return admitted;
    }
    return Ok({ [Symbol.dispose]: () => releaseRequest(limits, accountId) });
};
