import type { ConfigurationDocument } from "@ibislanding/resources";

/** The background tasks of a control host; disposing of them releases all leases. */
export interface ControlTasks extends AsyncDisposable {
    readonly applyConfiguration: (document: ConfigurationDocument) => void;
    readonly stateDump: () => unknown;
}
