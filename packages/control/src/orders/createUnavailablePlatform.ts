import { createFailure, ErrorCode } from "@ibislanding/core";
import type { CloudApi, WeightStore } from "@ibislanding/platform";
import { Err } from "ts-results";

/** Creates the stand-in for platform services that the settings don't name; every call fails. */
export const createUnavailablePlatform = (): CloudApi & WeightStore => {
    const fail = async () => Err(createFailure(ErrorCode.PlatformUnavailable));
    return { listOffers: fail, startHost: fail, stopHost: fail, reclaimNotices: fail, reserveLoad: fail };
};
