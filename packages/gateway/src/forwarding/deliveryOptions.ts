import type { CallerAnswer } from "./callerAnswer";
import type { UpstreamAnswer } from "./upstreamAnswer";

/** What is delivered to whom. */
export interface DeliveryOptions {
    readonly answer: UpstreamAnswer;
    readonly isStream: boolean;
    /** Whether only whole events are delivered, so that another run can go on after them. */
    readonly splitsEvents: boolean;
    readonly caller: CallerAnswer;
    readonly onFirstByte: () => void;
}
