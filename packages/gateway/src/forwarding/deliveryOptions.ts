import type { CallerAnswer } from "./callerAnswer";
import type { UpstreamAnswer } from "./upstreamAnswer";

/** What is delivered to whom. */
export interface DeliveryOptions {
    readonly answer: UpstreamAnswer;
    readonly isStream: boolean;
    readonly isResumable: boolean;
    readonly caller: CallerAnswer;
    readonly onFirstByte: () => void;
}
