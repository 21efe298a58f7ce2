import type { Clock, RandomSource } from "@ibislanding/core";
import type { KeyValueStore } from "@ibislanding/platform";
import type { ConfigurationDocument } from "@ibislanding/resources";

/** Dependencies and limits of a configuration writer. */
export interface ConfigurationWriterOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Called with each accepted document; awaited before the operator gets a response. */
    readonly onAccepted?: (document: ConfigurationDocument) => Promise<unknown> | void;
    /** Maximum number of read and conditional write attempts per operation. */
    readonly maximumAttempts?: number;
}
