/** Purpose of a call to the key-value service; calls are counted by purpose. */
export type KeyValueCause =
    | "configuration-read"
    | "configuration-watch"
    | "configuration-write"
    | "status-write"
    | "ledger-read"
    | "ledger-claim"
    | "ledger-seal"
    | "lease"
    | "control-read"
    | "control-write"
    | "membership-seed"
    | "discovery"
    | "duty"
    | "quarantine"
    | "versions"
    | "experiment";
