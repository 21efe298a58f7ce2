import type { CommandClass } from "clipanion";
import { ApplyCommand } from "../commands/applyCommand";
import { DeleteCommand } from "../commands/deleteCommand";
import { QuarantineEndCommand } from "../quarantine/quarantineEndCommand";
import { QuarantineListCommand } from "../quarantine/quarantineListCommand";
import { AuditCommand } from "../queries/auditCommand";
import { CompletionCommand } from "../queries/completionCommand";
import { DescribeCommand } from "../queries/describeCommand";
import { DiffCommand } from "../queries/diffCommand";
import { DumpCommand } from "../queries/dumpCommand";
import { ExplainCommand } from "../queries/explainCommand";
import { GetCommand } from "../queries/getCommand";
import { StatusCommand } from "../queries/statusCommand";
import { ValidateCommand } from "../queries/validateCommand";
import { WatchCommand } from "../queries/watchCommand";
import { RolloutListCommand } from "../rollout/rolloutListCommand";
import { ExplainRouteCommand } from "../routes/explainRouteCommand";

/** All commands of `ibisctl`. */
export const commandClasses: readonly CommandClass[] = [
    ApplyCommand,
    DeleteCommand,
    GetCommand,
    DescribeCommand,
    StatusCommand,
    WatchCommand,
    DiffCommand,
    ValidateCommand,
    DumpCommand,
    AuditCommand,
    ExplainCommand,
    ExplainRouteCommand,
    QuarantineListCommand,
    QuarantineEndCommand,
    RolloutListCommand,
    CompletionCommand,
];
