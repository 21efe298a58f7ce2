import type { ConfigurationChange } from "@ibislanding/resources";
import type { InForceState } from "./inForceState";

/** An accepted or dry-run operation, as returned by the administration API. */
export interface OperationView extends ConfigurationChange {
    /** Whether the changes were only validated and not applied. */
    readonly dryRun: boolean;
    readonly inForce: InForceState;
}
