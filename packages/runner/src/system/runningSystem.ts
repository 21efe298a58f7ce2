import type { ManagedProcess } from "../processes/managedProcess";
import type { Deployment } from "./deployment";

/** A started system. */
export interface RunningSystem extends AsyncDisposable {
    readonly deployment: Deployment;
    readonly processes: () => readonly ManagedProcess[];
    readonly operatorToken: string;
    /** Processes of one program. */
    readonly ofProgram: (program: string) => readonly ManagedProcess[];
    /** Starts a replacement entry host. */
    readonly addEntry: () => Promise<ManagedProcess>;
    /** Starts another engine in a zone. */
    readonly addEngine: (availabilityZone: string) => Promise<ManagedProcess>;
    /** Stops all processes gracefully; returns those that did not end with code 0. */
    readonly stop: () => Promise<readonly string[]>;
}
