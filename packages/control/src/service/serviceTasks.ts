import type { ConfigurationDocument } from "@ibislanding/resources";
import type { ServiceTask } from "./serviceTask";

/** The tasks of all services with a placement. */
export interface ServiceTasks extends AsyncDisposable {
    /** Starts and ends tasks so that there is one for each service of the configuration. */
    readonly apply: (document: ConfigurationDocument) => void;
    readonly trigger: () => void;
    /** Services whose lease this process holds. */
    readonly heldServices: () => ReadonlySet<string>;
    readonly stateDump: () => Readonly<Record<string, ReturnType<ServiceTask["stateDump"]>>>;
}
