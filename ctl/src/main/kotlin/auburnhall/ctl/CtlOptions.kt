/*
 * The command-line arguments of auburnhallctl.
 */
package auburnhall.ctl

import org.kohsuke.args4j.Argument

/** The command and its arguments. */
internal class CtlOptions {
    @Argument(index = 0, required = true, metaVar = "COMMAND")
    var command: String = ""

    @Argument(index = 1, multiValued = true, metaVar = "ARGUMENT")
    var arguments: MutableList<String> = mutableListOf()
}
