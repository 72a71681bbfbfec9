package io.nutmegseam.node.command;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Defines the commands and options of the command line. */
final class ArgumentParserFactory {
  private static final String DEFAULT_OPERATOR_URL = "http://127.0.0.1:8081";

  private ArgumentParserFactory() {}

  static ArgumentParser create(String version) {
    ArgumentParser parser =
        ArgumentParsers.newFor("nutmegseam")
            .build()
            .description("A serving system for rarely used models.")
            .version("nutmegseam " + version);
    parser
        .addArgument("--version")
        .action(net.sourceforge.argparse4j.impl.Arguments.version())
        .help("print the version");
    Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
    addNode(commands);
    addCheck(commands);
    addApply(commands);
    addGet(commands);
    addDelete(commands);
    addOperatorCommand(commands, "history", "list accepted record changes", "history");
    addDiff(commands);
    addOperatorCommand(
        commands, "status", "show nodes and backend servers", "status --output json");
    addOperatorCommand(commands, "placements", "show replica placements", "placements");
    addDrain(commands);
    addTimeline(commands);
    return parser;
  }

  private static void addNode(Subparsers commands) {
    Subparser node = addCommand(commands, "node", "run a node", "node --settings node.jsonc");
    node.addArgument("--settings").required(true).metavar("FILE").help("settings file of the node");
  }

  private static void addCheck(Subparsers commands) {
    Subparser check =
        addCommand(
            commands,
            "check",
            "check settings and record files offline",
            "check node.jsonc records.jsonc");
    check.addArgument("files").nargs("+").metavar("FILE").help("settings or record files");
  }

  private static void addApply(Subparsers commands) {
    Subparser apply =
        addOperatorCommand(
            commands, "apply", "write operator records", "apply -f records.jsonc --wait 6");
    apply.addArgument("-f", "--file").required(true).metavar("FILE").help("record file");
    apply
        .addArgument("--if-revision")
        .type(Long.class)
        .metavar("N")
        .help("apply only if the configuration still has this revision");
    apply
        .addArgument("--wait")
        .type(Integer.class)
        .metavar("SECONDS")
        .help("wait until the revision is active on every live node");
  }

  private static void addGet(Subparsers commands) {
    Subparser get = addOperatorCommand(commands, "get", "read records", "get Model small-chat");
    get.addArgument("kind").nargs("?").metavar("KIND").help("record kind");
    get.addArgument("name").nargs("?").metavar("NAME").help("record name");
  }

  private static void addDelete(Subparsers commands) {
    Subparser delete =
        addOperatorCommand(commands, "delete", "delete a record", "delete Model small-chat");
    delete.addArgument("kind").metavar("KIND").help("record kind");
    delete.addArgument("name").metavar("NAME").help("record name");
  }

  private static void addDiff(Subparsers commands) {
    Subparser diff =
        addOperatorCommand(
            commands, "diff", "compare a file with the active records", "diff -f records.jsonc");
    diff.addArgument("-f", "--file").required(true).metavar("FILE").help("record file");
  }

  private static void addDrain(Subparsers commands) {
    Subparser drain =
        addOperatorCommand(
            commands, "drain", "stop sending new work to a backend server", "drain engine-1");
    drain.addArgument("name").metavar("SERVER").help("backend server");
    drain.addArgument("--undo").action(storeTrue()).help("send new work to the server again");
  }

  private static void addTimeline(Subparsers commands) {
    Subparser timeline =
        addOperatorCommand(
            commands, "timeline", "show the events of all nodes", "timeline --html out.html");
    timeline.addArgument("--html").metavar("FILE").help("write a self-contained HTML page");
    timeline.addArgument("--lines").action(storeTrue()).help("print JSON lines");
  }

  private static Subparser addOperatorCommand(
      Subparsers commands, String name, String help, String example) {
    Subparser command = addCommand(commands, name, help, example);
    command
        .addArgument("--address")
        .setDefault(DEFAULT_OPERATOR_URL)
        .metavar("URL")
        .help("operator address of any node");
    command.addArgument("--token").setDefault("").help("operator token");
    command.addArgument("--output").choices("json", "table").setDefault("table");
    return command;
  }

  private static Subparser addCommand(
      Subparsers commands, String name, String help, String example) {
    return commands
        .addParser(name)
        .help(help)
        .description(help + ".")
        .epilog("example: nutmegseam " + example);
  }

  private static net.sourceforge.argparse4j.inf.ArgumentAction storeTrue() {
    return net.sourceforge.argparse4j.impl.Arguments.storeTrue();
  }
}
