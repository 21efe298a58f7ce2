import type { LeaseHolder } from "@ibislanding/placement";
import type { StatusWriter } from "../status/statusWriter";
import type { ServiceControllerOptions } from "./serviceControllerOptions";

/** What the task of one service works with. */
export interface ServiceTaskOptions extends Omit<ServiceControllerOptions, "lease"> {
    /** Creates the contender for the lease of the service. */
    readonly createLease: (onChange: (held: boolean) => void) => LeaseHolder;
    readonly statuses: StatusWriter;
    readonly leaseStepMs: number;
    readonly roundIntervalMs: number;
    readonly onError: (error: unknown) => void;
}
