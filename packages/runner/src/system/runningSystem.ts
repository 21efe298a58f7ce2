import type { ManagedProcess } from "../processes/managedProcess";
import type { Deployment } from "./deployment";

/** A running system; disposing it stops all processes gracefully. */
export interface RunningSystem extends AsyncDisposable {
    readonly deployment: Deployment;
    readonly processes: () => readonly ManagedProcess[];
    readonly operatorToken: string;
    /** Returns the live processes of a program. */
    readonly ofProgram: (program: string) => readonly ManagedProcess[];
    /** Starts another entry host and waits until it is ready. */
    readonly addEntry: () => Promise<ManagedProcess>;
    /** Starts another engine in an availability zone. */
    readonly addEngine: (availabilityZone: string) => Promise<ManagedProcess>;
    /** Stops all processes gracefully; returns the names of those that did not exit with code 0. */
    readonly stop: () => Promise<readonly string[]>;
}
