/*
 * Exit codes of the command line.
 */
package auburnhall.ctl

/** How a command ended. The order is that of the numbers, which scripts rely on. */
enum class ExitCode(
    val meaning: String,
) {
    DONE("done"),
    REFUSED("refused, or a list is not valid; nothing was changed"),
    USAGE("the command line is wrong"),
    CONFLICT("somebody else changed the lists since; nothing was changed"),
    PENDING("stored but not yet accepted, or not known to be; run the command again with the change id shown"),
    UNREACHABLE("no entry process, or not the platform's key-value service, could be reached"),
    ;

    /** The process's exit status. */
    val number: Int get() = ordinal
}
