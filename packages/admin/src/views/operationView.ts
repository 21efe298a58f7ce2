import type { ConfigurationChange } from "@ibislanding/resources";
import type { InForceState } from "./inForceState";

/** An accepted operation as the administration API shows it. */
export interface OperationView extends ConfigurationChange {
    /** Whether the changes were only checked. */
    readonly dryRun: boolean;
    readonly inForce: InForceState;
}
