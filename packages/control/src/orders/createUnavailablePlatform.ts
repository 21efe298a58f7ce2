import { createFailure, ErrorCode } from "@ibislanding/core";
import type { CloudApi, WeightStore } from "@ibislanding/platform";
import { Err } from "ts-results";

/** Creates a client for platform services without a configured URL; every call fails with `PlatformUnavailable`. */
export const createUnavailablePlatform = (): CloudApi & WeightStore => {
    const fail = async () => Err(createFailure(ErrorCode.PlatformUnavailable));
    return { listOffers: fail, startHost: fail, stopHost: fail, reclaimNotices: fail, reserveLoad: fail };
};
