/** Why a listener closed a connection. */
export type ConnectionCloseCause =
    | "unused-bytes"
    | "pending-requests"
    | "replaced"
    | "too-many"
    | "unread-answer"
    | "costly-body";
