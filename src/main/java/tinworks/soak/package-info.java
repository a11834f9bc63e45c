/**
 * A soak: real processes and real sockets under troubles that overlap in time, judged from outside by what hosts ran,
 * what clients and operators were told, and how processes ended.
 */
package tinworks.soak;
