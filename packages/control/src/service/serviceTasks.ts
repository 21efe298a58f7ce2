import type { ConfigurationDocument } from "@ibislanding/resources";
import type { ServiceTask } from "./serviceTask";

/** The tasks of all services with a placement. */
export interface ServiceTasks extends AsyncDisposable {
    /** Starts, updates and stops tasks so that each service with a placement has one. */
    readonly apply: (document: ConfigurationDocument) => void;
    readonly trigger: () => void;
    /** Services whose lease this process holds. */
    readonly heldServices: () => ReadonlySet<string>;
    readonly stateDump: () => Readonly<Record<string, ReturnType<ServiceTask["stateDump"]>>>;
}
