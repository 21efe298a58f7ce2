import type { UpstreamRecord } from "@ibislanding/platform";

/** HTTP calls of the cloud stand-in to the host list and to the control routes of upstreams. */
export interface HostListClient extends AsyncDisposable {
    readonly put: (record: UpstreamRecord) => Promise<void>;
    readonly list: () => Promise<readonly UpstreamRecord[]>;
    readonly post: (url: string, body: unknown) => Promise<void>;
}
