import type { SoakRecords } from "../records/soakRecords";
import type { TimeBounds } from "./timeBounds";

/** Returns whether a host was in touch during a time: neither it nor the store was disturbed, nor shortly before. */
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
