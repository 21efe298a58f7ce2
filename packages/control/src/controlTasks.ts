import type { ConfigurationDocument } from "@ibislanding/resources";

/** The tasks of a control host; disposing of them gives all leases back. */
export interface ControlTasks extends AsyncDisposable {
    readonly applyConfiguration: (document: ConfigurationDocument) => void;
    readonly stateDump: () => unknown;
}
