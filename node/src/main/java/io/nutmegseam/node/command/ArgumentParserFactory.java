package io.nutmegseam.node.command;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The grammar of the command line. */
final class ArgumentParserFactory {
  private static final String DEFAULT_ADDRESS = "http://127.0.0.1:8081";

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
    node(commands);
    check(commands);
    apply(commands);
    get(commands);
    delete(commands);
    operator(commands, "history", "list the accepted changes", "history");
    diff(commands);
    operator(commands, "status", "show nodes and backend servers", "status --output json");
    operator(commands, "placements", "show replica placements", "placements");
    drain(commands);
    timeline(commands);
    return parser;
  }

  private static void node(Subparsers commands) {
    Subparser node = command(commands, "node", "run a node", "node --settings node.jsonc");
    node.addArgument("--settings").required(true).metavar("FILE").help("settings of the node");
  }

  private static void check(Subparsers commands) {
    Subparser check =
        command(commands, "check", "check files offline", "check node.jsonc records.jsonc");
    check.addArgument("files").nargs("+").metavar("FILE").help("settings or record files");
  }

  private static void apply(Subparsers commands) {
    Subparser apply =
        operator(commands, "apply", "write operator records", "apply -f records.jsonc --wait 6");
    apply.addArgument("-f", "--file").required(true).metavar("FILE").help("record file");
    apply
        .addArgument("--if-revision")
        .type(Long.class)
        .metavar("N")
        .help("accept only if the configuration is still at this revision");
    apply
        .addArgument("--wait")
        .type(Integer.class)
        .metavar("SECONDS")
        .help("wait until the revision is in force on every live node");
  }

  private static void get(Subparsers commands) {
    Subparser get = operator(commands, "get", "read records", "get Model small-chat");
    get.addArgument("kind").nargs("?").metavar("KIND").help("record kind");
    get.addArgument("name").nargs("?").metavar("NAME").help("record name");
  }

  private static void delete(Subparsers commands) {
    Subparser delete = operator(commands, "delete", "delete a record", "delete Model small-chat");
    delete.addArgument("kind").metavar("KIND").help("record kind");
    delete.addArgument("name").metavar("NAME").help("record name");
  }

  private static void diff(Subparsers commands) {
    Subparser diff =
        operator(commands, "diff", "compare a file with the records", "diff -f records.jsonc");
    diff.addArgument("-f", "--file").required(true).metavar("FILE").help("record file");
  }

  private static void drain(Subparsers commands) {
    Subparser drain =
        operator(commands, "drain", "give a backend server no new work", "drain engine-1");
    drain.addArgument("name").metavar("SERVER").help("backend server");
    drain.addArgument("--undo").action(storeTrue()).help("give it new work again");
  }

  private static void timeline(Subparsers commands) {
    Subparser timeline =
        operator(commands, "timeline", "show events over all nodes", "timeline --html out.html");
    timeline.addArgument("--html").metavar("FILE").help("write one self-contained page");
    timeline.addArgument("--lines").action(storeTrue()).help("print JSON lines");
  }

  private static Subparser operator(Subparsers commands, String name, String help, String example) {
    Subparser command = command(commands, name, help, example);
    command
        .addArgument("--address")
        .setDefault(DEFAULT_ADDRESS)
        .metavar("URL")
        .help("operator interface of any node");
    command.addArgument("--token").setDefault("").help("operator token");
    command.addArgument("--output").choices("json", "table").setDefault("table");
    return command;
  }

  private static Subparser command(Subparsers commands, String name, String help, String example) {
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
