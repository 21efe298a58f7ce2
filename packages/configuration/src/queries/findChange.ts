import type { OperationId } from "@ibislanding/core";
import type { ConfigurationChange, ConfigurationDocument } from "@ibislanding/resources";

/** Returns the recorded change of an operation if it is among the recent changes, otherwise `undefined`. */
export const findChange = (
    document: ConfigurationDocument,
    operationId: OperationId,
): ConfigurationChange | undefined => document.recentChanges.find(change => change.operationId === operationId);
