/*
 * Conversion between shares of customers' limits and the messages of the peer protocol.
 */
package auburnhall.peer

import auburnhall.core.CustomerId
import auburnhall.limits.ShareDemand
import auburnhall.limits.ShareGrant
import auburnhall.proto.peer.ShareDemand as ShareDemandMessage
import auburnhall.proto.peer.ShareGrant as ShareGrantMessage

internal fun ShareDemand.toMessage(): ShareDemandMessage =
    ShareDemandMessage
        .newBuilder()
        .setCustomer(customer.value)
        .setRequests(requests)
        .setTokens(tokens)
        .setConcurrent(concurrent)
        .setInProgress(inProgress)
        .build()

internal fun ShareDemandMessage.toDemand() = ShareDemand(CustomerId(customer), requests, tokens, concurrent, inProgress)

internal fun ShareGrant.toMessage(): ShareGrantMessage =
    ShareGrantMessage
        .newBuilder()
        .setCustomer(customer.value)
        .setRequests(requests)
        .setTokens(tokens)
        .setConcurrent(concurrent)
        .setValidMs(validMillis)
        .build()

internal fun ShareGrantMessage.toGrant() = ShareGrant(CustomerId(customer), requests, tokens, concurrent, validMs)
