/*
 * What entry processes say to each other about customers' limits. The owner of a customer lends parts of the plan's
 * bounds; a loan holds from the moment the borrower sent its request, so it never outlives the owner's own account.
 */
package auburnhall.limits

import auburnhall.core.CustomerId
import auburnhall.core.ProcessId
import auburnhall.core.StepError
import auburnhall.membership.Member

/**
 * What a process needs of one customer's limits until it asks again.
 *
 * @property requests requests wanted beyond those still lent.
 * @property tokens generated tokens wanted beyond those still lent.
 * @property concurrent requests in progress and waiting.
 * @property inProgress requests in progress.
 */
data class ShareDemand(
    val customer: CustomerId,
    val requests: Double,
    val tokens: Double,
    val concurrent: Int,
    val inProgress: Int,
)

/** What is lent of one customer's limits for [validMillis] from the moment the demand was sent. */
data class ShareGrant(
    val customer: CustomerId,
    val requests: Double,
    val tokens: Double,
    val concurrent: Int,
    val validMillis: Long,
)

/** Outcome of asking an owner. */
sealed interface BorrowResult {
    /** The owner answered; a customer it does not lend for is missing in [grants]. */
    data class Granted(
        val grants: List<ShareGrant>,
    ) : BorrowResult

    /** No answer came. */
    data class Error(
        val error: StepError,
    ) : BorrowResult
}

/** Asks owners for shares. */
fun interface ShareLender {
    /** Asks [owner] on behalf of [borrower]; blocks until the answer or the caller's timeout. */
    fun borrow(
        owner: Member,
        borrower: ProcessId,
        demands: List<ShareDemand>,
    ): BorrowResult
}
