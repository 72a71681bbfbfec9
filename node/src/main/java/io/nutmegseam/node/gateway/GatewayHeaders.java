package io.nutmegseam.node.gateway;

import java.util.Set;

/**
 * Names of the headers that the gateway reads and sets.
 *
 * @param requestId id of one attempt of a caller to have a request served; echoed by servers
 * @param deadlineMillis time left for the response, in milliseconds
 * @param model model of the request; an adapter follows after a slash
 * @param tokens number of prompt tokens and maximum number of completion tokens, separated by a
 *     comma
 * @param prompt parts of the prompt, as {@code id:tokens} pairs separated by commas
 * @param lastEventId id of the last event that the caller has received
 * @param resumes id of the request that brought the first event of the stream that the caller takes
 *     up
 * @param expectedServer id of the server that may run the request
 * @param notRun present on a response which states that the request did not run
 * @param receipt present on every response that was created by a server
 * @param load numbers of running requests, queued requests and slots of a server, separated by
 *     commas
 * @param requestLimit requests per second, as a decimal number, that a server accepts from all
 *     nodes together; absent from the responses of a server without limit
 * @param rejectionLimit rejections for want of room within a second, as a decimal number, after
 *     which a server falls over; absent from the responses of a server that is not brittle
 * @param leaving value 1 if the server is leaving; absent otherwise
 * @param priority priority at the server; lower is more urgent
 * @param tenant name of the tenant whose request it is; set by the gateway
 * @param reserved headers that only the gateway may set; removed from callers' requests
 */
public record GatewayHeaders(
    String requestId,
    String deadlineMillis,
    String model,
    String tokens,
    String prompt,
    String lastEventId,
    String resumes,
    String expectedServer,
    String notRun,
    String receipt,
    String load,
    String requestLimit,
    String rejectionLimit,
    String leaving,
    String priority,
    String tenant,
    Set<String> reserved) {}
