import { runProgram } from "@ibislanding/runtime";
import { adminProgram } from "./adminProgram";

void runProgram(adminProgram);
