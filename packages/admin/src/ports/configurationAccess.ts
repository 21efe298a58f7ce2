import type { ConfigurationOperation, ConfigurationWriter } from "@ibislanding/configuration";
import type { Failure } from "@ibislanding/core";
import type { ConfigurationChange, ConfigurationDocument } from "@ibislanding/resources";
import type { Result } from "ts-results";
import type { ConfigurationSnapshot } from "./configurationSnapshot";

/** Port to the declared configuration. */
export interface ConfigurationAccess extends Pick<ConfigurationWriter, "apply" | "findOperation"> {
    /** Reads the latest configuration, or the last known one during an outage. */
    readonly read: () => Promise<Result<ConfigurationSnapshot, Failure>>;
    /** Returns the last known configuration; undefined if none has been read. */
    readonly current: () => ConfigurationDocument | undefined;
    /** Calls the listener with each later configuration; returns the unsubscribe function. */
    readonly subscribe: (listener: (document: ConfigurationDocument) => void) => () => void;
    readonly dryRun: (
        operation: ConfigurationOperation,
        changedBy: string,
    ) => Promise<Result<ConfigurationChange, Failure>>;
}
