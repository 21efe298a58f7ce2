import type { BodyDelimiter } from "@ibislanding/core";

/** The body of an upstream's response as far as it was received. */
export interface ReceivedBody {
    readonly delimiter: BodyDelimiter;
    readonly sizeBytes: number;
    /** Whether the last received bytes belong to an incomplete event of a stream. */
    readonly endsInsideEvent: boolean;
}
