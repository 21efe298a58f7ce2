import type { SoakRecords } from "../records/soakRecords";
import type { TimeBounds } from "./timeBounds";

/**
 * Creates a function that returns whether a host was connected throughout a period: neither the host nor the store was
 * disturbed during the period or within `contactMs` before it.
 */
export const createConnectivityCheck = ({ disturbances }: SoakRecords, { contactMs }: TimeBounds) =>
(
    hostName: string,
    fromMs: number,
    untilMs: number,
): boolean =>
    !disturbances.some(disturbance =>
        (disturbance.hostName === undefined || disturbance.hostName === hostName)
        && disturbance.fromMs <= untilMs && disturbance.untilMs >= fromMs - contactMs
    );
