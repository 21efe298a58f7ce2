import type { LeaseHolder } from "@ibislanding/placement";
import type { StatusWriter } from "../status/statusWriter";
import type { ServiceControllerOptions } from "./serviceControllerOptions";

/** Dependencies and intervals of the task of one service. */
export interface ServiceTaskOptions extends Omit<ServiceControllerOptions, "lease"> {
    /** Creates the lease holder that contends for the service's lease. */
    readonly createLease: (onChange: (held: boolean) => void) => LeaseHolder;
    readonly statuses: StatusWriter;
    readonly leaseStepMs: number;
    readonly roundIntervalMs: number;
    readonly onError: (error: unknown) => void;
}
